#pragma once

#include "snipestall/settings/setting_info.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace snipestall::settings {

/// A node of the schema as a tree of path segments, which the readers follow through a document.
struct SchemaNode
{
    std::map<std::string, std::unique_ptr<SchemaNode>, std::less<>> children;
    /// Node of every name that the operator chooses; null if only fixed names are allowed here.
    std::unique_ptr<SchemaNode> anyName;
    /// The setting of a leaf; null for a section.
    const SettingInfo *setting = nullptr;

    /// The node of a segment; null if the segment isn't allowed here.
    [[nodiscard]] const SchemaNode *child(std::string_view segment) const;
};

/// The root of the schema, built once.
const SchemaNode &schemaRoot();

} // namespace snipestall::settings
