#include "snipestall/serving/forward_targets.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

using std::chrono::milliseconds;

ForwardTargets::ForwardTargets(std::string dataCentre, std::uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{ }

void ForwardTargets::setInstance(const std::string &name, std::optional<wire::Endpoint> address,
                                 const std::string &dataCentre, std::uint32_t milliCores)
{
    if (!address) {
        m_instances.erase(name);
        return;
    }
    Instance &instance = m_instances[name];
    instance.address = *address;
    instance.dataCentre = dataCentre;
    instance.milliCores = milliCores;
}

void ForwardTargets::keepOnly(const std::map<std::string, std::string> &registered)
{
    std::erase_if(m_instances,
                  [&registered](const auto &entry) { return !registered.contains(entry.first); });
}

void ForwardTargets::cutOff(const CutOffReport &report, SteadyTime now)
{
    SteadyTime &at = m_cutOff[report.instance];
    at = std::max(at, now - report.age);
}

bool ForwardTargets::isCutOff(const std::string &name, SteadyTime now) const
{
    const auto found = m_cutOff.find(name);
    return found != m_cutOff.end() && now - found->second <= CutOffKeptFor;
}

std::vector<CutOffReport> ForwardTargets::cutOffs(SteadyTime now) const
{
    std::vector<CutOffReport> reports;
    for (const auto &[name, at] : m_cutOff) {
        if (isCutOff(name, now))
            reports.push_back({ name, std::chrono::duration_cast<milliseconds>(now - at) });
    }
    return reports;
}

void ForwardTargets::failed(const std::string &name, SteadyTime now)
{
    const auto found = m_instances.find(name);
    if (found != m_instances.end())
        found->second.avoidUntil = now + AvoidFailedFor;
}

bool ForwardTargets::takesRequests(const std::string &name, const Instance &instance,
                                   SteadyTime now) const
{
    return now >= instance.avoidUntil && !isCutOff(name, now);
}

std::optional<ForwardTarget> ForwardTargets::find(const std::string &name, SteadyTime now) const
{
    const auto found = m_instances.find(name);
    if (found == m_instances.end() || !takesRequests(name, found->second, now))
        return std::nullopt;
    return ForwardTarget { name, found->second.address };
}

std::optional<ForwardTarget> ForwardTargets::choose(const std::unordered_set<std::string> &tried,
                                                    SteadyTime now)
{
    Candidates all;
    Candidates near;
    // This instance, which is cut off, is one of its data centre.
    std::size_t nearInstances = 1;
    for (const auto &[name, instance] : m_instances) {
        const bool isNear = instance.dataCentre == m_dataCentre;
        nearInstances += isNear ? 1 : 0;
        if (tried.contains(name) || !takesRequests(name, instance, now))
            continue;
        all.emplace_back(&name, &instance);
        if (isNear)
            near.emplace_back(&name, &instance);
    }
    const Candidates &candidates = !near.empty() && 2 * near.size() >= nearInstances ? near : all;
    if (candidates.empty())
        return std::nullopt;
    // An unknown processor time counts as a small one.
    const auto weightOf = [](const Instance &instance) {
        return std::max(instance.milliCores, 1U);
    };
    std::uint64_t total = 0;
    for (const auto &[name, instance] : candidates)
        total += weightOf(*instance);
    std::uint64_t at = m_random.below(total);
    for (const auto &[name, instance] : candidates) {
        const std::uint64_t weight = weightOf(*instance);
        if (at < weight)
            return ForwardTarget { *name, instance->address };
        at -= weight;
    }
    return std::nullopt;
}

} // namespace snipestall::serving
