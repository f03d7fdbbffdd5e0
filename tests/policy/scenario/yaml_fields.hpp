#pragma once

#include "snipestall/policy/time.hpp"
#include "snipestall/settings/fault.hpp"

#include <yaml-cpp/yaml.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipestall::policy::harness {

using Faults = std::vector<settings::Fault>;

/// "0.5", "50%"
std::optional<double> parseNumber(const std::string &text);
/// "250ms", "5s", "2min"
std::optional<Duration> parseDuration(const std::string &text);

/// Reads one YAML map; remembers what was asked for, so that any other key is a fault.
class YamlFields
{
public:
    YamlFields(const YAML::Node &node, std::string path, Faults &faults);

    double number(const std::string &key, double absent);
    double number(const std::string &key);
    Duration duration(const std::string &key, Duration absent);
    Duration duration(const std::string &key);
    std::vector<std::string> texts(const std::string &key);
    /// The child map or sequence; undefined where there is none.
    YAML::Node child(const std::string &key);
    [[nodiscard]] bool has(const std::string &key) const;
    [[nodiscard]] std::string pathOf(const std::string &key) const;
    void faultAt(const std::string &key, const std::string &found, const std::string &allowed);
    /// Reports every key that nothing asked for.
    void rejectOthers();

private:
    std::optional<std::string> scalar(const std::string &key);

    YAML::Node m_node;
    std::string m_path;
    Faults &m_faults;
    std::set<std::string> m_known;
};

} // namespace snipestall::policy::harness
