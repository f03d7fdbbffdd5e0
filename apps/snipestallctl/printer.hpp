#pragma once

#include "options.hpp"

#include <boost/json/value.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace snipestall::ctl {

/// Rows of text, printed with aligned columns.
struct TextTable
{
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

void printTable(std::ostream &out, const TextTable &table);

/// Prints `table`, or `content` as JSON or YAML, as `format` says. Both hold the same data.
void print(std::ostream &out, OutputFormat format, const TextTable &table,
           const boost::json::value &content);

} // namespace snipestall::ctl
