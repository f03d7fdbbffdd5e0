#pragma once

#include "policy/harness/call.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace snipestall::policy::harness {

/// Prompt and output tokens a second.
struct DemandRate
{
    double asked = 0;
    double answered = 0;
};

/// Measures, for each data centre and service, what a steward reports as demand.
class DemandMeter
{
public:
    void countAsked(const Call &call, const std::string &dataCentre);
    void countAnswered(const Call &call, const std::string &dataCentre);
    /// Turns what was counted since the last time into rates.
    void roll(Duration length);
    /// Over the last whole period.
    [[nodiscard]] DemandRate rate(const std::string &dataCentre, const std::string &service) const;

private:
    using Key = std::pair<std::string, std::string>;

    std::map<Key, DemandRate> m_counts;
    std::map<Key, DemandRate> m_rates;
};

} // namespace snipestall::policy::harness
