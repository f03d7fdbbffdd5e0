#include "proof/event_text.hpp"

#include <boost/json/parse.hpp>

#include <numeric>
#include <sstream>
#include <string_view>

namespace snipestall::harness {

namespace {

/// Returns the text after the field name for each line that begins with `name`.
std::vector<std::string> fieldsOf(const std::string &body, std::string_view name)
{
    std::vector<std::string> values;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name))
            values.push_back(line.substr(name.size()));
    }
    return values;
}

} // namespace

std::string eventText(const std::string &body)
{
    std::string text;
    for (const std::string &data : fieldsOf(body, "data: ")) {
        boost::system::error_code ec;
        const boost::json::value event = boost::json::parse(data, ec);
        if (ec)
            continue;
        const boost::json::value *piece = event.find_pointer("/choices/0/text", ec);
        if (piece != nullptr && piece->is_string())
            text += piece->get_string();
    }
    return text;
}

std::vector<int> eventOffsets(const std::string &body)
{
    std::vector<int> offsets;
    for (const std::string &id : fieldsOf(body, "id: "))
        offsets.push_back(std::stoi(id));
    return offsets;
}

std::vector<int> offsetsFrom(int first, int end)
{
    std::vector<int> offsets(static_cast<std::size_t>(end - first));
    std::iota(offsets.begin(), offsets.end(), first);
    return offsets;
}

} // namespace snipestall::harness
