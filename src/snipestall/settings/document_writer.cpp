#include "document_writer.hpp"

#include "snipestall/settings/document.hpp"

#include "path.hpp"

#include <yaml-cpp/yaml.h>

#include <map>
#include <memory>

namespace snipestall::settings {
namespace {

struct Section
{
    std::map<std::string, Section> children;
    const Value *value = nullptr;
};

Section &descend(Section &root, const std::string &path)
{
    Section *section = &root;
    for (const std::string &segment : splitPath(path))
        section = &section->children[segment];
    return *section;
}

void emitValue(YAML::Emitter &out, const Value &value)
{
    const auto *list = std::get_if<std::vector<std::string>>(&value);
    if (!list) {
        out << toText(value);
        return;
    }
    out << YAML::Flow << YAML::BeginSeq;
    for (const std::string &item : *list)
        out << item;
    out << YAML::EndSeq;
}

void emitSection(YAML::Emitter &out, const Section &section)
{
    if (section.value) {
        emitValue(out, *section.value);
        return;
    }
    out << YAML::BeginMap;
    for (const auto &[name, child] : section.children) {
        out << YAML::Key << name << YAML::Value;
        emitSection(out, child);
    }
    out << YAML::EndMap;
}

} // namespace

std::string writeReadable(const Document &document)
{
    Section root;
    for (const std::string &entity : document.entities)
        descend(root, entity);
    for (const auto &[path, value] : document.values)
        descend(root, path).value = &value;
    YAML::Emitter out;
    emitSection(out, root);
    return std::string(out.c_str()) + "\n";
}

} // namespace snipestall::settings
