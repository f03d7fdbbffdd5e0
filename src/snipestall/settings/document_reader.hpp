#pragma once

#include "snipestall/settings/document.hpp"
#include "snipestall/settings/fault.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

/// The readable part of a document and the faults of the rest.
struct ReadResult
{
    Document document;
    std::vector<Fault> faults;
};

/// Reads a YAML text and checks each value against the schema.
ReadResult readDocument(std::string_view yaml);

/// Reads the YAML text of one value or section into a document that has nothing at or under the
/// path. Returns the faults found.
std::vector<Fault> readInto(Document &document, const std::string &path, const std::string &yaml);

} // namespace snipestall::settings
