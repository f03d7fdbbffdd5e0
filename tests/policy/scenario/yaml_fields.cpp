#include "policy/scenario/yaml_fields.hpp"

#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace snipestall::policy::harness {

namespace {

using namespace std::chrono_literals;

struct Unit
{
    std::string_view suffix;
    Duration length;
};

constexpr std::array<Unit, 3> Units { { { "ms", 1ms }, { "min", 1min }, { "s", 1s } } };
constexpr double Percent = 0.01;
constexpr auto NumberForm = "a number or a percentage, such as 0.5 or 50%";
constexpr auto DurationForm = "a time with its unit, such as 250ms, 5s or 2min";

std::optional<double> parsePlain(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<double> parseNumber(const std::string &text)
{
    if (!text.ends_with('%')) {
        return parsePlain(text);
    }
    const auto value = parsePlain(std::string_view(text).substr(0, text.size() - 1));
    return value ? std::optional(*value * Percent) : std::nullopt;
}

std::optional<Duration> parseDuration(const std::string &text)
{
    for (const auto &unit : Units) {
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const auto count =
            parsePlain(std::string_view(text).substr(0, text.size() - unit.suffix.size()));
        if (count) {
            return std::chrono::duration_cast<Duration>(*count * unit.length);
        }
    }
    return std::nullopt;
}

YamlFields::YamlFields(const YAML::Node &node, std::string path, Faults &faults)
    : m_node(node)
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!node.IsMap()) {
        m_faults.push_back({ m_path, "no map", "a map of keys and values" });
        m_node = YAML::Node(YAML::NodeType::Map);
    }
}

double YamlFields::number(const std::string &key, double defaultValue)
{
    const auto text = scalar(key);
    if (!text) {
        return defaultValue;
    }
    const auto value = parseNumber(*text);
    if (!value) {
        faultAt(key, *text, NumberForm);
    }
    return value.value_or(defaultValue);
}

double YamlFields::number(const std::string &key)
{
    if (!has(key)) {
        faultAt(key, "nothing", NumberForm);
    }
    return number(key, 0);
}

Duration YamlFields::duration(const std::string &key, Duration defaultValue)
{
    const auto text = scalar(key);
    if (!text) {
        return defaultValue;
    }
    const auto value = parseDuration(*text);
    if (!value) {
        faultAt(key, *text, DurationForm);
    }
    return value.value_or(defaultValue);
}

Duration YamlFields::duration(const std::string &key)
{
    if (!has(key)) {
        faultAt(key, "nothing", DurationForm);
    }
    return duration(key, Duration::zero());
}

std::vector<std::string> YamlFields::texts(const std::string &key)
{
    std::vector<std::string> values;
    for (const auto &entry : child(key)) {
        values.push_back(entry.IsScalar() ? entry.Scalar() : std::string());
    }
    if (values.empty()) {
        faultAt(key, "nothing", "a list with at least one entry");
    }
    return values;
}

YAML::Node YamlFields::child(const std::string &key)
{
    m_known.insert(key);
    return std::as_const(m_node)[key];
}

bool YamlFields::has(const std::string &key) const
{
    return std::as_const(m_node)[key].IsDefined();
}

std::string YamlFields::pathOf(const std::string &key) const
{
    if (m_path.empty() || key.empty()) {
        return m_path + key;
    }
    return m_path + "/" + key;
}

void YamlFields::faultAt(const std::string &key, const std::string &found,
                         const std::string &allowed)
{
    m_faults.push_back({ pathOf(key), found, allowed });
}

void YamlFields::rejectOthers()
{
    std::string allowed;
    for (const auto &key : m_known) {
        allowed += (allowed.empty() ? "" : ", ") + key;
    }
    for (const auto &entry : m_node) {
        const auto key = entry.first.Scalar();
        if (!m_known.contains(key)) {
            faultAt(key, "an unknown key", allowed);
        }
    }
}

std::optional<std::string> YamlFields::scalar(const std::string &key)
{
    const auto node = child(key);
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    if (!node.IsScalar()) {
        faultAt(key, "a map or list", "one value");
        return std::nullopt;
    }
    return node.Scalar();
}

} // namespace snipestall::policy::harness
