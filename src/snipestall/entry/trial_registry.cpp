#include "trial_registry.hpp"

namespace snipestall::entry {

bool TrialRegistry::mayStart(const Trial &trial, Time now)
{
    if (m_active.size() >= MaxTrials)
        std::erase_if(m_active,
                      [now](const auto &entry) { return now - entry.second.at > MaxTrialAge; });
    const auto found = m_active.find(trial.fingerprint);
    if (found == m_active.end()) {
        if (m_active.size() < MaxTrials)
            m_active[trial.fingerprint] = { trial.request, trial.home, now };
        return true;
    }
    ActiveTrial &first = found->second;
    if (first.request != trial.request && now - first.at <= MaxTrialAge)
        return false;
    first = { trial.request, trial.home, now };
    return true;
}

void TrialRegistry::endTrial(std::uint64_t fingerprint, const std::string &request)
{
    const auto found = m_active.find(fingerprint);
    if (found != m_active.end() && found->second.request == request)
        m_active.erase(found);
}

void TrialRegistry::removeHome(const std::string &home)
{
    std::erase_if(m_active, [&home](const auto &entry) { return entry.second.home == home; });
}

} // namespace snipestall::entry
