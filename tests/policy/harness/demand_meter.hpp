#pragma once

#include "policy/harness/call.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace snipestall::policy::harness {

/// The demand and the work done in one period.
struct DemandRate
{
    /// Requested prompt and output tokens per second.
    double asked = 0;
    double answered = 0;
    /// Number of servers that the work done would have kept fully busy.
    double busyServers = 0;

    /// Returns the tokens per second that one server answers when all its slots are busy.
    [[nodiscard]] double perBusyServer() const
    {
        return busyServers > 0 ? answered / busyServers : 0;
    }
};

/// Measures the demand that a steward reports for each data centre and service.
class DemandMeter
{
public:
    void countAsked(const Call &call, const std::string &dataCentre);
    void countAnswered(const Call &call, const std::string &dataCentre);
    /// Adds a sample of the load of one server, taken every `period`.
    void countBusy(const std::string &dataCentre, const std::string &service, double servers,
                   Duration period);
    /// Turns the counts since the last call into rates; `length` is the time since then.
    void finishPeriod(Duration length);
    /// Returns the rates of the last complete period.
    [[nodiscard]] DemandRate rate(const std::string &dataCentre, const std::string &service) const;

private:
    using Key = std::pair<std::string, std::string>;

    std::map<Key, DemandRate> m_counts;
    std::map<Key, DemandRate> m_rates;
};

} // namespace snipestall::policy::harness
