#include "printer.hpp"

#include <boost/json.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <ostream>

namespace snipestall::ctl {
namespace {

constexpr std::size_t ColumnGap = 2;

std::vector<std::size_t> widthsOf(const TextTable &table)
{
    std::vector<std::size_t> widths;
    for (const std::string &name : table.header)
        widths.push_back(name.size());
    for (const auto &row : table.rows) {
        for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    return widths;
}

void printRow(std::ostream &out, const std::vector<std::string> &row,
              const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
        line += row[i];
        if (i + 1 < row.size())
            line.append(widths[i] - row[i].size() + ColumnGap, ' ');
    }
    out << line << '\n';
}

bool isEmpty(const boost::json::value &value)
{
    const auto *object = value.if_object();
    const auto *array = value.if_array();
    return (object && object->empty()) || (array && array->empty());
}

void emitYaml(YAML::Emitter &out, const boost::json::value &value)
{
    if (isEmpty(value))
        out << YAML::Flow;
    if (const auto *object = value.if_object()) {
        out << YAML::BeginMap;
        for (const auto &member : *object) {
            out << YAML::Key << std::string(member.key()) << YAML::Value;
            emitYaml(out, member.value());
        }
        out << YAML::EndMap;
    } else if (const auto *array = value.if_array()) {
        out << YAML::BeginSeq;
        for (const auto &item : *array)
            emitYaml(out, item);
        out << YAML::EndSeq;
    } else if (const auto *text = value.if_string()) {
        out << std::string(text->c_str());
    } else {
        out << boost::json::serialize(value);
    }
}

using Writer = void (*)(std::ostream &, const TextTable &, const boost::json::value &);

void writeTable(std::ostream &out, const TextTable &table, const boost::json::value &)
{
    printTable(out, table);
}

void writeJson(std::ostream &out, const TextTable &, const boost::json::value &content)
{
    out << boost::json::serialize(content) << '\n';
}

void writeYaml(std::ostream &out, const TextTable &, const boost::json::value &content)
{
    YAML::Emitter emitter;
    emitYaml(emitter, content);
    out << emitter.c_str() << '\n';
}

} // namespace

void printTable(std::ostream &out, const TextTable &table)
{
    const std::vector<std::size_t> widths = widthsOf(table);
    printRow(out, table.header, widths);
    for (const auto &row : table.rows)
        printRow(out, row, widths);
}

void print(std::ostream &out, OutputFormat format, const TextTable &table,
           const boost::json::value &content)
{
    constexpr std::array Writers { writeTable, writeJson, writeYaml };
    const Writer write = Writers.at(static_cast<std::size_t>(format));
    write(out, table, content);
}

} // namespace snipestall::ctl
