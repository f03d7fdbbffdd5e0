#pragma once

#include <string>

namespace snipestall::settings {

/// One thing wrong with a settings document.
struct Fault
{
    /// Slash-separated path in the document, such as "customers/kiyi/limits/concurrency".
    std::string path;
    std::string found;
    std::string allowed;
};

} // namespace snipestall::settings
