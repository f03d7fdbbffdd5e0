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

constexpr std::size_t MaxTextBytes = 4 * 1024 * 1024;
constexpr std::size_t MaxValues = 200'000;
/// Longest text of a value that a fault shows.
constexpr std::size_t MaxShownLength = 80;

std::string shorten(std::string text)
{
    if (text.size() > MaxShownLength)
        text = text.substr(0, MaxShownLength) + "...";
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

// The value is not shown for settings that hold hashes of keys: an operator may have entered the
// key itself by mistake, and the fault would repeat it in the terminal's history and in the log.
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

    /// The faults found. Called once, after everything is read.
    std::vector<Fault> faults()
    {
        if (m_seenPaths.size() > MaxValues)
            addFault("", "more than " + std::to_string(MaxValues) + " values",
                     "at most as many; check for aliases that repeat sections");
        return std::move(m_faults);
    }

    void readSection(const YAML::Node &node, const SchemaNode &schema, const std::string &path)
    {
        if (!node.IsMap()) {
            if (!node.IsNull())
                addFault(path, describe(node), allowedUnder(schema));
            return;
        }
        for (const auto &entry : node)
            readEntry(entry.first, entry.second, schema, path);
    }

    /// Follows a path from the root and reads the node as the value or section at its end.
    void readPath(const std::string &path, const YAML::Node &node)
    {
        const SchemaNode *schema = &schemaRoot();
        std::string currentPath;
        const std::vector<std::string> names = splitPath(path);
        for (std::size_t i = 0; i < names.size(); ++i) {
            schema = descend(*schema, currentPath, names[i], i + 1 == names.size());
            if (!schema)
                return;
        }
        if (schema->setting)
            readValue(node, *schema->setting, currentPath);
        else
            readSection(node, *schema, currentPath);
    }

    void addFault(std::string path, std::string found, std::string allowed)
    {
        m_faults.push_back({ std::move(path), std::move(found), std::move(allowed) });
    }

private:
    /// Follows one segment for readPath. Null if a fault was found.
    const SchemaNode *descend(const SchemaNode &schema, std::string &currentPath,
                              const std::string &name, bool isLast)
    {
        const std::string parent = currentPath;
        currentPath = joinPath(currentPath, name);
        const SchemaNode *child = schema.child(name);
        if (schema.setting)
            addFault(currentPath, "a name under a value", "a path such as customers/NAME/weight");
        else if (!child)
            addFault(currentPath, "unknown name " + shorten(name), allowedInsteadOf(name, schema));
        else if (schema.anyName && !child->setting)
            return enterEntity(*child, parent, currentPath, isLast);
        return schema.setting ? nullptr : child;
    }

    // A value can be set only in an entity that exists. Otherwise a mistyped customer in a path
    // would create a new customer with that one value, and the operator would believe that the
    // limit of the intended customer was changed.
    const SchemaNode *enterEntity(const SchemaNode &child, const std::string &parent,
                                  const std::string &currentPath, bool isLast)
    {
        if (isLast)
            m_document.entities.insert(currentPath);
        if (m_document.has(currentPath))
            return &child;
        const std::string suggestion =
            nearestName(currentPath.substr(parent.size() + 1), m_document.names(parent));
        addFault(currentPath, "no such name",
                 (suggestion.empty() ? "" : "did you mean " + suggestion + "? ")
                     + "to create it, set " + currentPath + " itself");
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

    static std::string allowedInsteadOf(const std::string &name, const SchemaNode &schema)
    {
        std::vector<std::string> names;
        for (const auto &child : schema.children)
            names.push_back(child.first);
        const std::string suggestion = nearestName(name, names);
        return suggestion.empty() ? allowedUnder(schema) : "did you mean " + suggestion + "?";
    }

    void readEntry(const YAML::Node &key, const YAML::Node &node, const SchemaNode &schema,
                   const std::string &parent)
    {
        const std::string name = key.IsScalar() ? key.Scalar() : std::string("?");
        const std::string path = joinPath(parent, name);
        const SchemaNode *child = key.IsScalar() ? schema.child(name) : nullptr;
        if (!child) {
            addFault(path, "unknown name " + shorten(name), allowedInsteadOf(name, schema));
            return;
        }
        if (!m_seenPaths.insert(path).second) {
            addFault(path, "written twice", "once");
            return;
        }
        if (m_seenPaths.size() > MaxValues)
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
            value = readListNode(node, setting);
        else if (node.IsScalar())
            value = readScalar(setting, node.Scalar());
        if (value)
            m_document.values.emplace(path, std::move(*value));
        else
            addFault(path, describeFor(setting, node), allowedText(setting));
    }

    static std::optional<Value> readListNode(const YAML::Node &node, const SettingInfo &setting)
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
    std::set<std::string, std::less<>> m_seenPaths;
};

void addYamlFault(Reader &reader, const std::string &path, const YAML::Exception &error)
{
    const std::string problem = error.mark.is_null()
        ? std::string("invalid YAML")
        : "invalid YAML in line " + std::to_string(error.mark.line + 1);
    reader.addFault(path, problem + ": " + error.msg, "YAML text; see docs/settings.md");
}

} // namespace

ReadResult readDocument(std::string_view yaml)
{
    ReadResult read;
    Reader reader(read.document);
    if (yaml.size() > MaxTextBytes) {
        reader.addFault("", std::to_string(yaml.size()) + " bytes",
                        "at most " + std::to_string(MaxTextBytes) + " bytes");
        read.faults = reader.faults();
        return read;
    }
    try {
        const YAML::Node root = YAML::Load(std::string(yaml));
        reader.readSection(root, schemaRoot(), "");
    } catch (const YAML::Exception &error) {
        addYamlFault(reader, "", error);
    }
    read.faults = reader.faults();
    return read;
}

std::vector<Fault> readInto(Document &document, const std::string &path, const std::string &yaml)
{
    Reader reader(document);
    try {
        reader.readPath(path, YAML::Load(yaml));
    } catch (const YAML::Exception &error) {
        addYamlFault(reader, path, error);
    }
    return reader.faults();
}

} // namespace snipestall::settings
