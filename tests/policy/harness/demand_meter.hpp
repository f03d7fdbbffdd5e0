#pragma once

#include "policy/harness/call.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace snipestall::policy::harness {

/// What was asked and done in one period.
struct DemandRate
{
    /// Prompt and output tokens a second.
    double asked = 0;
    double answered = 0;
    /// Servers that the work done would have kept wholly busy.
    double busyServers = 0;

    /// Tokens a second that one server answers when all its slots are busy.
    [[nodiscard]] double perBusyServer() const
    {
        return busyServers > 0 ? answered / busyServers : 0;
    }
};

/// Measures, for each data centre and service, what a steward reports as demand.
class DemandMeter
{
public:
    void countAsked(const Call &call, const std::string &dataCentre);
    void countAnswered(const Call &call, const std::string &dataCentre);
    /// Counts a sample of one server's load, taken each `period`.
    void countBusy(const std::string &dataCentre, const std::string &service, double servers,
                   Duration period);
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
