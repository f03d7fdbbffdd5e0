#include "document_reader.hpp"

#include "path.hpp"
#include "schema_node.hpp"
#include "suggestion.hpp"
#include "value_reader.hpp"

#include <yaml-cpp/yaml.h>

#include <optional>
#include <string>

namespace snipestall::settings {
namespace {

constexpr std::size_t LargestText = 4 * 1024 * 1024;
constexpr std::size_t MostValues = 200'000;
constexpr std::size_t LongestShown = 80;

std::string shorten(std::string text)
{
    if (text.size() > LongestShown)
        text = text.substr(0, LongestShown) + "...";
    return text;
}

std::string describe(const YAML::Node &node)
{
    switch (node.Type()) {
    case YAML::NodeType::Scalar:
        return shorten(node.Scalar());
    case YAML::NodeType::Sequence:
        return "a list of " + std::to_string(node.size());
    case YAML::NodeType::Map:
        return "a section";
    default:
        return "nothing";
    }
}

// An operator who puts a key itself where its hash belongs would see it again in the fault, in the
// terminal's history and in the log. So what stands in a secret's place is never shown.
std::string describeFor(const SettingInfo &setting, const YAML::Node &node)
{
    if (setting.type != ValueType::KeyHashes)
        return describe(node);
    if (node.IsScalar())
        return "one value (not shown)";
    return describe(node) + " (not shown)";
}

class Reader
{
public:
    ReadDocument take() { return std::move(m_read); }

    void readSection(const YAML::Node &node, const SchemaNode &schema, const std::string &path)
    {
        if (!node.IsMap()) {
            if (!node.IsNull())
                fault(path, describe(node), allowedUnder(schema));
            return;
        }
        for (const auto &entry : node)
            readEntry(entry.first, entry.second, schema, path);
    }

    void fault(std::string path, std::string found, std::string allowed)
    {
        m_read.faults.push_back({ std::move(path), std::move(found), std::move(allowed) });
    }

private:
    static std::string allowedUnder(const SchemaNode &schema)
    {
        if (schema.anyName && schema.children.empty())
            return "a section of names: lower-case letters, digits, '-', '_', '.', at most 64";
        std::string names;
        for (const auto &child : schema.children)
            names.append(names.empty() ? "a section of " : ", ").append(child.first);
        return names;
    }

    static std::string allowedInPlaceOf(const std::string &name, const SchemaNode &schema)
    {
        std::vector<std::string> names;
        for (const auto &child : schema.children)
            names.push_back(child.first);
        const std::string meant = nearest(name, names);
        return meant.empty() ? allowedUnder(schema) : "did you mean " + meant + "?";
    }

    void readEntry(const YAML::Node &key, const YAML::Node &node, const SchemaNode &schema,
                   const std::string &parent)
    {
        const std::string name = key.IsScalar() ? key.Scalar() : std::string("?");
        const std::string path = joinPath(parent, name);
        const SchemaNode *child = key.IsScalar() ? schema.child(name) : nullptr;
        if (!child) {
            fault(path, "unknown name " + shorten(name), allowedInPlaceOf(name, schema));
            return;
        }
        if (!m_seen.insert(path).second) {
            fault(path, "written twice", "once");
            return;
        }
        if (m_seen.size() > MostValues)
            return;
        if (child->setting) {
            readValue(node, *child->setting, path);
            return;
        }
        if (schema.anyName)
            m_read.document.entities.insert(path);
        readSection(node, *child, path);
    }

    void readValue(const YAML::Node &node, const SettingInfo &setting, const std::string &path)
    {
        std::optional<Value> value;
        if (isList(setting))
            value = listOf(node, setting);
        else if (node.IsScalar())
            value = readScalar(setting, node.Scalar());
        if (value)
            m_read.document.values.emplace(path, std::move(*value));
        else
            fault(path, describeFor(setting, node), allowedText(setting));
    }

    static std::optional<Value> listOf(const YAML::Node &node, const SettingInfo &setting)
    {
        if (!node.IsSequence())
            return std::nullopt;
        std::vector<std::string> texts;
        for (const YAML::Node &item : node) {
            if (!item.IsScalar())
                return std::nullopt;
            texts.push_back(item.Scalar());
        }
        return readList(setting, std::move(texts));
    }

    ReadDocument m_read;
    std::set<std::string, std::less<>> m_seen;
};

} // namespace

ReadDocument readDocument(std::string_view yaml)
{
    Reader reader;
    if (yaml.size() > LargestText) {
        reader.fault("", std::to_string(yaml.size()) + " bytes",
                     "at most " + std::to_string(LargestText) + " bytes");
        return reader.take();
    }
    try {
        const YAML::Node root = YAML::Load(std::string(yaml));
        reader.readSection(root, schemaRoot(), "");
    } catch (const YAML::Exception &error) {
        const std::string place = error.mark.is_null()
            ? std::string("unreadable YAML")
            : "unreadable YAML in line " + std::to_string(error.mark.line + 1);
        reader.fault("", place + ": " + error.msg, "a YAML document; see docs/settings.md");
    }
    return reader.take();
}

} // namespace snipestall::settings
