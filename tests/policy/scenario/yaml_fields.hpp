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

/// Parses a number or percentage such as "0.5" or "50%".
std::optional<double> parseNumber(const std::string &text);
/// Parses a duration such as "250ms", "5s" or "2min".
std::optional<Duration> parseDuration(const std::string &text);

/// Reads one YAML map and records the keys that were read, so that any other key can be reported as
/// a fault.
class YamlFields
{
public:
    YamlFields(const YAML::Node &node, std::string path, Faults &faults);

    double number(const std::string &key, double defaultValue);
    double number(const std::string &key);
    Duration duration(const std::string &key, Duration defaultValue);
    Duration duration(const std::string &key);
    std::vector<std::string> texts(const std::string &key);
    /// Returns the child map or sequence, or an undefined node if there is none.
    YAML::Node child(const std::string &key);
    [[nodiscard]] bool has(const std::string &key) const;
    [[nodiscard]] std::string pathOf(const std::string &key) const;
    void faultAt(const std::string &key, const std::string &found, const std::string &allowed);
    /// Reports every key that was not read.
    void rejectOthers();

private:
    std::optional<std::string> scalar(const std::string &key);

    YAML::Node m_node;
    std::string m_path;
    Faults &m_faults;
    std::set<std::string> m_known;
};

} // namespace snipestall::policy::harness
