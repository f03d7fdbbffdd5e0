#pragma once

#include "snipestall/settings/setting_info.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace snipestall::settings {

/// The schema table as a tree of path segments, the form in which a document is walked.
struct SchemaNode
{
    std::map<std::string, std::unique_ptr<SchemaNode>, std::less<>> children;
    /// What stands under any name that the operator chooses; null if names are fixed here.
    std::unique_ptr<SchemaNode> anyName;
    /// Set on leaves.
    const SettingInfo *setting = nullptr;

    /// The node of a segment; null if it isn't allowed here.
    [[nodiscard]] const SchemaNode *child(std::string_view segment) const;
};

const SchemaNode &schemaRoot();

} // namespace snipestall::settings
