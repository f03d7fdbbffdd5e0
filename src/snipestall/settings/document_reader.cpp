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
    explicit Reader(Document &document)
        : m_document(document)
    { }

    /// What was wrong, once everything is read.
    std::vector<Fault> faults()
    {
        if (m_seen.size() > MostValues)
            fault("", "more than " + std::to_string(MostValues) + " values",
                  "at most as many; does an alias repeat sections?");
        return std::move(m_faults);
    }

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

    /// Goes down a path that is named from the root and reads what stands at its end.
    void readPath(const std::string &path, const YAML::Node &node)
    {
        const SchemaNode *schema = &schemaRoot();
        std::string at;
        const std::vector<std::string> names = splitPath(path);
        for (std::size_t i = 0; i < names.size(); ++i) {
            schema = descend(*schema, at, names[i], i + 1 == names.size());
            if (!schema)
                return;
        }
        if (schema->setting)
            readValue(node, *schema->setting, at);
        else
            readSection(node, *schema, at);
    }

    void fault(std::string path, std::string found, std::string allowed)
    {
        m_faults.push_back({ std::move(path), std::move(found), std::move(allowed) });
    }

private:
    /// One step of readPath; null once a fault is found.
    const SchemaNode *descend(const SchemaNode &schema, std::string &at, const std::string &name,
                              bool isLast)
    {
        const std::string parent = at;
        at = joinPath(at, name);
        const SchemaNode *child = schema.child(name);
        if (schema.setting)
            fault(at, "a value on the way to it", "a path such as customers/NAME/weight");
        else if (!child)
            fault(at, "unknown name " + shorten(name), allowedInPlaceOf(name, schema));
        else if (schema.anyName && !child->setting)
            return enterEntity(*child, parent, at, isLast);
        return schema.setting ? nullptr : child;
    }

    // A mistyped customer in a path would otherwise make a new customer with that one value, and
    // the operator would take the limit of the one that was meant for changed.
    const SchemaNode *enterEntity(const SchemaNode &child, const std::string &parent,
                                  const std::string &at, bool isLast)
    {
        if (isLast)
            m_document.entities.insert(at);
        if (m_document.has(at))
            return &child;
        const std::string meant = nearest(at.substr(parent.size() + 1), m_document.names(parent));
        fault(at, "no such name",
              (meant.empty() ? "" : "did you mean " + meant + "? ") + "to make a new one, set " + at
                  + " itself");
        return nullptr;
    }

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
            m_document.entities.insert(path);
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
            m_document.values.emplace(path, std::move(*value));
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

    Document &m_document;
    std::vector<Fault> m_faults;
    std::set<std::string, std::less<>> m_seen;
};

void faultOf(Reader &reader, const std::string &path, const YAML::Exception &error)
{
    const std::string place = error.mark.is_null()
        ? std::string("unreadable YAML")
        : "unreadable YAML in line " + std::to_string(error.mark.line + 1);
    reader.fault(path, place + ": " + error.msg, "YAML text; see docs/settings.md");
}

} // namespace

ReadDocument readDocument(std::string_view yaml)
{
    ReadDocument read;
    Reader reader(read.document);
    if (yaml.size() > LargestText) {
        reader.fault("", std::to_string(yaml.size()) + " bytes",
                     "at most " + std::to_string(LargestText) + " bytes");
        read.faults = reader.faults();
        return read;
    }
    try {
        const YAML::Node root = YAML::Load(std::string(yaml));
        reader.readSection(root, schemaRoot(), "");
    } catch (const YAML::Exception &error) {
        faultOf(reader, "", error);
    }
    read.faults = reader.faults();
    return read;
}

std::vector<Fault> readAt(Document &document, const std::string &path, const std::string &yaml)
{
    Reader reader(document);
    try {
        reader.readPath(path, YAML::Load(yaml));
    } catch (const YAML::Exception &error) {
        faultOf(reader, path, error);
    }
    return reader.faults();
}

} // namespace snipestall::settings
