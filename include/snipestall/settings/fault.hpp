#pragma once

#include <string>

namespace snipestall::settings {

/// One error in a settings document.
struct Fault
{
    /// Slash-separated path in the document, such as "customers/kiyi/limits/concurrency".
    std::string path;
    /// What the document holds at the path, in words.
    std::string found;
    /// What may stand there, in words.
    std::string allowed;
};

} // namespace snipestall::settings
