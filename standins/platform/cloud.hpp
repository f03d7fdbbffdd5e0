#pragma once

#include "common/lagged.hpp"

#include "snipestall/base/clock.hpp"
#include "snipestall/platform/cloud_api.hpp"
#include "snipestall/platform/listed_instance.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipestall::standins {

/// One accepted start; the test starts the process.
struct Start
{
    platform::StartOrder order;
    std::string instance;
    bool released = false;
};

/// The cloud's instances: which are listed, which starts it has accepted. The list can be read as
/// it was some time ago.
class Cloud
{
public:
    using Listing = std::map<std::string, platform::ListedInstance>;

    Cloud();

    void add(SteadyTime now, platform::ListedInstance instance);
    void remove(SteadyTime now, const std::string &name);
    /// Marks an instance as leaving; nothing if it is not listed.
    std::optional<platform::ListedInstance> notice(SteadyTime now, const std::string &name,
                                                   std::chrono::milliseconds left);
    [[nodiscard]] std::vector<platform::ListedInstance>
    list(SteadyTime now, const std::string &dataCentre, std::chrono::milliseconds lag) const;
    /// Time left of the notice of one instance, as the instance itself can ask without a lag.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    noticeLeft(SteadyTime now, const std::string &name) const;

    /// Whether a fencing number is the greatest seen in the data centre.
    bool admits(const std::string &dataCentre, std::uint64_t fencing);
    /// The same order gives the same instance.
    std::string start(const platform::StartOrder &order);
    [[nodiscard]] bool started(const std::string &order) const;
    /// False if no such instance was started or listed.
    bool release(SteadyTime now, const std::string &name);
    [[nodiscard]] const std::vector<Start> &starts() const { return m_starts; }
    /// Data centre of a started or listed instance; empty if unknown.
    [[nodiscard]] std::string dataCentreOf(const std::string &name) const;

private:
    Lagged<Listing> m_listing;
    std::map<std::string, SteadyTime> m_noticeEnds;
    std::map<std::string, std::uint64_t> m_fencing;
    std::vector<Start> m_starts;
};

} // namespace snipestall::standins
