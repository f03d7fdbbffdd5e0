#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace snipestall::serving {

/// An instance that takes the requests of others.
struct ForwardTarget
{
    std::string name;
    wire::Endpoint address;
};

/// An instance without a path to any backend server, and how long ago that was known.
struct CutOffReport
{
    std::string instance;
    std::chrono::milliseconds age { 0 };
};

/// Chooses the instance to which one that is cut off from all backend servers forwards a request.
///
/// Load: the instances of a whole data centre are cut off at once, and all their requests go to
/// others, which are small. So they are spread over all instances that are not cut off, in the own
/// data centre if most of it is left, in proportion to their processor time.
class ForwardTargets
{
public:
    ForwardTargets(std::string dataCentre, std::uint64_t seed);

    /// An instance is registered or has reported. `address`: where it takes requests of others;
    /// nothing if it does not.
    void setInstance(const std::string &name, std::optional<wire::Endpoint> address,
                     const std::string &dataCentre, std::uint32_t milliCores);
    /// Forgets all instances but the registered ones, given with their data centres.
    void keepOnly(const std::map<std::string, std::string> &registered);
    /// Takes over that an instance was cut off some time ago.
    void cutOff(const CutOffReport &report, SteadyTime now);
    /// An instance has reported itself and is not cut off.
    void reaches(const std::string &name) { m_cutOff.erase(name); }
    /// The instances that are known to be cut off.
    [[nodiscard]] std::vector<CutOffReport> cutOffs(SteadyTime now) const;
    /// A request could not be forwarded to an instance.
    void failed(const std::string &name, SteadyTime now);
    /// Returns an instance by its name; nothing if it takes no requests now.
    [[nodiscard]] std::optional<ForwardTarget> find(const std::string &name, SteadyTime now) const;
    /// Returns nothing if no instance is left that might serve the request.
    std::optional<ForwardTarget> choose(const std::unordered_set<std::string> &tried,
                                        SteadyTime now);

private:
    /// Several intervals of reports, over the two hops between instances of different hubs.
    static constexpr std::chrono::milliseconds CutOffKeptFor { 1500 };
    /// About the time in which a process starts again.
    static constexpr std::chrono::milliseconds AvoidFailedFor { 2000 };

    struct Instance
    {
        wire::Endpoint address;
        std::string dataCentre;
        std::uint32_t milliCores = 0;
        SteadyTime avoidUntil;
    };
    using Candidates = std::vector<std::pair<const std::string *, const Instance *>>;

    [[nodiscard]] bool isCutOff(const std::string &name, SteadyTime now) const;
    [[nodiscard]] bool takesRequests(const std::string &name, const Instance &instance,
                                     SteadyTime now) const;

    std::string m_dataCentre;
    Random m_random;
    std::map<std::string, Instance> m_instances;
    /// When an instance was last cut off.
    std::map<std::string, SteadyTime> m_cutOff;
};

} // namespace snipestall::serving
