#include "schema_node.hpp"

#include "snipestall/settings/schema.hpp"

#include "path.hpp"
#include "value_reader.hpp"

namespace snipestall::settings {
namespace {

SchemaNode &childFor(SchemaNode &node, std::string_view segment)
{
    std::unique_ptr<SchemaNode> &slot =
        segment == "*" ? node.anyName : node.children[std::string(segment)];
    if (!slot)
        slot = std::make_unique<SchemaNode>();
    return *slot;
}

SchemaNode &nodeFor(SchemaNode &root, std::string_view pattern)
{
    SchemaNode *node = &root;
    for (const std::string &segment : splitPath(pattern))
        node = &childFor(*node, segment);
    return *node;
}

SchemaNode buildTree()
{
    SchemaNode root;
    for (const ScopeInfo &scope : scopes()) {
        nodeFor(root, scope.pattern);
        for (const SettingInfo &setting : schema()) {
            if (contains(setting.scopes, scope.scope))
                nodeFor(root, patternOf(setting, scope.scope)).setting = &setting;
        }
    }
    return root;
}

} // namespace

const SchemaNode *SchemaNode::child(std::string_view segment) const
{
    const auto it = children.find(segment);
    if (it != children.end())
        return it->second.get();
    return anyName && isName(segment) ? anyName.get() : nullptr;
}

const SchemaNode &schemaRoot()
{
    static const SchemaNode root = buildTree();
    return root;
}

} // namespace snipestall::settings
