#include "schema_node.hpp"

#include "snipestall/settings/schema.hpp"

#include "path.hpp"
#include "value_reader.hpp"

namespace snipestall::settings {
namespace {

SchemaNode &grow(SchemaNode &node, std::string_view segment)
{
    std::unique_ptr<SchemaNode> &slot =
        segment == "*" ? node.anyName : node.children[std::string(segment)];
    if (!slot)
        slot = std::make_unique<SchemaNode>();
    return *slot;
}

SchemaNode &growPath(SchemaNode &root, std::string_view pattern)
{
    SchemaNode *node = &root;
    for (const std::string &segment : splitPath(pattern))
        node = &grow(*node, segment);
    return *node;
}

SchemaNode build()
{
    SchemaNode root;
    for (const PlaceInfo &place : places()) {
        growPath(root, place.pattern);
        for (const SettingInfo &setting : schema()) {
            if (contains(setting.places, place.place))
                growPath(root, patternOf(setting, place.place)).setting = &setting;
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
    static const SchemaNode root = build();
    return root;
}

} // namespace snipestall::settings
