#include "canonical_text.hpp"

#include "snipestall/settings/document.hpp"

#include "path.hpp"
#include "schema_node.hpp"
#include "value_reader.hpp"

#include <boost/json.hpp>

namespace snipestall::settings {

namespace json = boost::json;

namespace {

/// The object of a section, created if it doesn't exist yet.
json::object &sectionAt(json::object &root, std::string_view path)
{
    json::object *section = &root;
    while (!path.empty()) {
        const std::size_t slash = path.find('/');
        json::value &child = (*section)[path.substr(0, slash)];
        if (!child.is_object())
            child.emplace_object();
        section = &child.get_object();
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    }
    return *section;
}

void put(json::value &slot, const Value &value)
{
    const auto *list = std::get_if<std::vector<std::string>>(&value);
    if (!list) {
        slot.emplace_string() = toText(value);
        return;
    }
    json::array &items = slot.emplace_array();
    items.reserve(list->size());
    for (const std::string &item : *list)
        items.emplace_back(item);
}

std::vector<std::string> textsOf(const json::array &array)
{
    std::vector<std::string> texts;
    texts.reserve(array.size());
    for (const json::value &item : array) {
        if (const json::string *text = item.if_string())
            texts.emplace_back(text->c_str(), text->size());
    }
    return texts;
}

std::optional<Value> readValue(const SettingInfo &setting, const json::value &from)
{
    if (const json::array *array = from.if_array())
        return isList(setting) ? readList(setting, textsOf(*array)) : std::nullopt;
    const json::string *text = from.if_string();
    if (!text || isList(setting))
        return std::nullopt;
    return readScalar(setting, std::string_view(text->data(), text->size()));
}

bool readSection(const json::object &from, const SchemaNode &schema, const std::string &path,
                 Document &document)
{
    for (const auto &entry : from) {
        const SchemaNode *child = schema.child(entry.key());
        if (!child)
            return false;
        std::string childPath = joinPath(path, entry.key());
        if (child->setting) {
            auto value = readValue(*child->setting, entry.value());
            if (!value)
                return false;
            document.values.emplace_hint(document.values.end(), std::move(childPath),
                                         std::move(*value));
            continue;
        }
        const json::object *section = entry.value().if_object();
        if (!section || !readSection(*section, *child, childPath, document))
            return false;
        if (schema.anyName)
            document.entities.insert(std::move(childPath));
    }
    return true;
}

} // namespace

std::string writeCanonical(const Document &document)
{
    json::monotonic_resource memory;
    json::object root(&memory);
    for (const std::string &entity : document.entities)
        sectionAt(root, entity);
    for (const auto &[path, value] : document.values) {
        const std::size_t slash = path.rfind('/');
        json::object &section = sectionAt(root, std::string_view(path).substr(0, slash));
        put(section[std::string_view(path).substr(slash + 1)], value);
    }
    return json::serialize(root) + "\n";
}

// A text that merely resembles the canonical form could hold a name twice; the JSON parser keeps
// the last value silently, and the operator's first value would be lost. So the document is
// accepted only if writing it gives exactly the text that was read. Any other text is left to the
// slower YAML reader, which reports its faults.
std::optional<Document> readCanonical(std::string_view text)
{
    if (!text.starts_with('{'))
        return std::nullopt;
    json::error_code error;
    json::monotonic_resource memory;
    const json::value root = json::parse(text, error, &memory);
    if (error || !root.is_object())
        return std::nullopt;
    Document document;
    const bool isRead = readSection(root.get_object(), schemaRoot(), "", document);
    if (!isRead || writeCanonical(document) != text)
        return std::nullopt;
    return document;
}

} // namespace snipestall::settings
