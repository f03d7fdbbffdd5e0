#pragma once

#include "snipestall/base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace snipestall::serving {

/// Which instances of a simulated fleet run and reach each other. Models in tests share it.
class FleetDisturbances
{
public:
    using Indices = std::vector<std::size_t>;

    void addInstances(std::size_t count) { m_instances.resize(m_instances.size() + count); }
    [[nodiscard]] std::size_t size() const { return m_instances.size(); }
    void setNow(SteadyTime now) { m_now = now; }

    /// Stops these processes. They are due to start again after `downFor`.
    void kill(const Indices &indices, std::chrono::milliseconds downFor)
    {
        for (const std::size_t index : indices) {
            m_instances[index].up = false;
            m_instances[index].downUntil = m_now + downFor;
        }
    }
    /// Suspends these processes for some time. They keep their state.
    void freeze(const Indices &indices, std::chrono::milliseconds length)
    {
        for (const std::size_t index : indices)
            m_instances[index].frozenUntil = m_now + length;
    }
    /// Separates these instances from all others. They still reach each other and the servers.
    void cutOff(const Indices &indices, std::chrono::milliseconds length)
    {
        for (const std::size_t index : indices)
            m_instances[index].cutOffUntil = m_now + length;
    }

    /// Returns the processes that start now.
    Indices startDue()
    {
        Indices due;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (m_instances[i].up || m_now < m_instances[i].downUntil)
                continue;
            m_instances[i].up = true;
            due.push_back(i);
        }
        return due;
    }

    [[nodiscard]] bool isRunning(std::size_t index) const
    {
        return m_instances[index].up && m_instances[index].frozenUntil <= m_now;
    }
    [[nodiscard]] std::size_t running() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            count += isRunning(i) ? 1 : 0;
        return count;
    }
    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const
    {
        return isRunning(to)
            && (m_instances[from].cutOffUntil > m_now) == (m_instances[to].cutOffUntil > m_now);
    }
    /// The instance to which this one reports: the first that it reaches of each `InstancesPerHub`.
    [[nodiscard]] std::size_t hubOf(std::size_t index) const
    {
        for (std::size_t hub = index - index % InstancesPerHub; hub < index; ++hub) {
            if (reaches(index, hub))
                return hub;
        }
        return index;
    }
    /// The instances with which this one exchanges reports: its hub, or the other hubs.
    [[nodiscard]] Indices partnersOf(std::size_t index) const
    {
        const std::size_t hub = hubOf(index);
        if (hub != index)
            return { hub };
        Indices partners;
        for (std::size_t other = 0; other < m_instances.size(); other += InstancesPerHub) {
            const std::size_t otherHub = hubOf(other);
            if (otherHub != index && reaches(index, otherHub))
                partners.push_back(otherHub);
        }
        return partners;
    }
    /// Until when a disturbance of this instance lasted, or lasts.
    [[nodiscard]] SteadyTime disturbedUntil(std::size_t index) const
    {
        const Instance &instance = m_instances[index];
        return std::max({ instance.downUntil, instance.frozenUntil, instance.cutOffUntil });
    }

private:
    static constexpr std::size_t InstancesPerHub = 25;

    struct Instance
    {
        SteadyTime downUntil;
        SteadyTime frozenUntil;
        SteadyTime cutOffUntil;
        bool up = true;
    };

    SteadyTime m_now;
    std::vector<Instance> m_instances;
};

} // namespace snipestall::serving
