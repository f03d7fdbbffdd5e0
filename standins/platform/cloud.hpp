#pragma once

#include "common/value_history.hpp"

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

/// One accepted order to start an instance. The test starts the process itself.
struct Start
{
    platform::StartOrder order;
    std::string instance;
    bool released = false;
};

/// Simulates the cloud: keeps the list of instances and the accepted start orders. The list can be
/// read as it was some time ago.
class Cloud
{
public:
    using InstancesByName = std::map<std::string, platform::ListedInstance>;

    Cloud();

    void add(SteadyTime now, platform::ListedInstance instance);
    void remove(SteadyTime now, const std::string &name);
    /// Marks an instance as leaving and returns it, or nothing if it is not listed.
    std::optional<platform::ListedInstance> markLeaving(SteadyTime now, const std::string &name,
                                                        std::chrono::milliseconds left);
    [[nodiscard]] std::vector<platform::ListedInstance>
    list(SteadyTime now, const std::string &dataCentre, std::chrono::milliseconds lag) const;
    /// Time left until the notice of an instance ends, without the lag of the list. The instance
    /// itself can query it. It is empty without a notice.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    noticeLeft(SteadyTime now, const std::string &name) const;

    /// Returns false if a greater fencing token has been seen in the data centre; otherwise
    /// remembers this one.
    bool acceptFencing(const std::string &dataCentre, std::uint64_t fencing);
    /// Returns the name of the instance. A repeated order id returns the same instance.
    std::string start(const platform::StartOrder &order);
    [[nodiscard]] bool started(const std::string &order) const;
    /// Returns false if no such instance was started or listed.
    bool release(SteadyTime now, const std::string &name);
    [[nodiscard]] const std::vector<Start> &starts() const { return m_starts; }
    /// Data centre of a started or listed instance, or an empty string if the instance is unknown.
    [[nodiscard]] std::string dataCentreOf(const std::string &name) const;

private:
    ValueHistory<InstancesByName> m_listing;
    std::map<std::string, SteadyTime> m_noticeEnds;
    std::map<std::string, std::uint64_t> m_fencing;
    std::vector<Start> m_starts;
};

} // namespace snipestall::standins
