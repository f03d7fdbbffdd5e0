#pragma once

#include <string>

namespace snipestall::events {

/// Returns the content of docs/events.md, generated from the event catalogue, in Markdown.
std::string referencePage();

} // namespace snipestall::events
