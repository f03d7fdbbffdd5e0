#include "trial_book.hpp"

namespace snipestall::entry {

bool TrialBook::mayBegin(const Trial &trial, Time now)
{
    if (m_begun.size() >= MostTrials)
        std::erase_if(m_begun,
                      [now](const auto &entry) { return now - entry.second.at > Longest; });
    const auto found = m_begun.find(trial.fingerprint);
    if (found == m_begun.end()) {
        if (m_begun.size() < MostTrials)
            m_begun[trial.fingerprint] = { trial.request, trial.home, now };
        return true;
    }
    Begun &first = found->second;
    if (first.request != trial.request && now - first.at <= Longest)
        return false;
    first = { trial.request, trial.home, now };
    return true;
}

void TrialBook::over(std::uint64_t fingerprint, const std::string &request)
{
    const auto found = m_begun.find(fingerprint);
    if (found != m_begun.end() && found->second.request == request)
        m_begun.erase(found);
}

void TrialBook::homeLost(const std::string &home)
{
    std::erase_if(m_begun, [&home](const auto &entry) { return entry.second.home == home; });
}

} // namespace snipestall::entry
