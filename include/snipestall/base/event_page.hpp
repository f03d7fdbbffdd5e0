#pragma once

#include <string>

namespace snipestall::events {

/// The whole of docs/events.md, in Markdown, from the catalogue.
std::string referencePage();

} // namespace snipestall::events
