#pragma once

#include "snipestall/settings/document.hpp"
#include "snipestall/settings/fault.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

/// A document as far as it can be read, and what is wrong with the rest.
struct ReadDocument
{
    Document document;
    std::vector<Fault> faults;
};

/// Holds a YAML text to the schema, value by value.
ReadDocument readDocument(std::string_view yaml);

/// Reads the YAML text of one value or section into a document that says nothing at or under the
/// path. The faults found.
std::vector<Fault> readAt(Document &document, const std::string &path, const std::string &yaml);

} // namespace snipestall::settings
