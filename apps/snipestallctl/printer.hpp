#pragma once

#include "options.hpp"

#include <boost/json/value.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace snipestall::ctl {

/// Rows for people; columns are aligned.
struct TextTable
{
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

void printTable(std::ostream &out, const TextTable &table);

/// The same content as rows, JSON or YAML, as asked for.
void print(std::ostream &out, OutputFormat format, const TextTable &table,
           const boost::json::value &content);

} // namespace snipestall::ctl
