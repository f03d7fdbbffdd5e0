#include "harness/scenario/yaml_json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace snipestall::harness {

namespace json = boost::json;

namespace {

json::value toValue(const YAML::Node &node)
{
    if (node.IsMap()) {
        json::object object;
        for (const auto &entry : node)
            object[entry.first.Scalar()] = toValue(entry.second);
        return object;
    }
    if (node.IsSequence()) {
        json::array array;
        for (const auto &entry : node)
            array.push_back(toValue(entry));
        return array;
    }
    if (!node.IsDefined() || node.IsNull())
        return json::object {};
    boost::system::error_code ec;
    json::value known = json::parse(node.Scalar(), ec);
    return ec ? json::value(node.Scalar()) : known;
}

} // namespace

std::string toJson(const YAML::Node &node)
{
    return json::serialize(toValue(node));
}

} // namespace snipestall::harness
