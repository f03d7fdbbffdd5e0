#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/decaying_rate.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace snipestall::serving {

/// Work that other instances have sent to the servers of a service since their last reports; see
/// LoadSpread. Prompts that go to the server that has their parts cached, whatever its load, are
/// not part of it, because they do not gather at the least loaded servers. The part of the prompts
/// that may go anywhere is measured on those of this instance.
class UnseenWork
{
public:
    /// Sets the number of instances of the fleet, including this one.
    void setInstances(std::size_t count) { m_instances = count; }
    /// A prompt was sent to a server that has to read `unreadTokens` of it and has `cachedTokens`.
    void promptSent(const std::string &service, double unreadTokens, double cachedTokens,
                    SteadyTime now);
    /// Returns the unseen work of all others, if the fleet sends `perSecond`, in the unit of that.
    [[nodiscard]] double at(const std::string &service, double perSecond, SteadyTime now) const;

private:
    /// Age of a report when the next one arrives, where all instances report to each other, and
    /// where hubs pass the reports on.
    static constexpr std::chrono::milliseconds DirectAge { 200 };
    static constexpr std::chrono::milliseconds AgeThroughHub { 400 };
    static constexpr std::size_t MaxDirectInstances = 12;
    /// A prompt goes where its parts are cached if that saves this part of its reading.
    static constexpr double BindingFraction = 1.0 / 3;
    static constexpr std::chrono::milliseconds Period { 2000 };

    struct Rates
    {
        DecayingRate all;
        DecayingRate free;
    };

    std::size_t m_instances = 1;
    std::unordered_map<std::string, Rates> m_services;
};

} // namespace snipestall::serving
