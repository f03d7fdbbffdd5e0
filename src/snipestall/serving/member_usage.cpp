#include "snipestall/serving/member_usage.hpp"

#include <algorithm>

namespace snipestall::serving {

void MemberUsage::memberClosed(const std::string &process, std::int64_t window)
{
    Member &member = m_members[process];
    member.closed = std::max(member.closed, window);
}

std::vector<std::string> MemberUsage::membersFinalFor(std::int64_t window) const
{
    std::vector<std::string> processes;
    for (const auto &[process, member] : m_members) {
        if (member.closed >= window)
            processes.push_back(process);
    }
    return processes;
}

void MemberUsage::markStored(const std::vector<std::string> &processes, std::int64_t window)
{
    for (const std::string &process : processes) {
        const auto member = m_members.find(process);
        if (member != m_members.end())
            member->second.stored = std::max(member->second.stored, window);
    }
}

std::int64_t MemberUsage::storedUpTo(const std::string &process) const
{
    const auto member = m_members.find(process);
    return member == m_members.end() ? 0 : member->second.stored;
}

void MemberUsage::dropBefore(std::int64_t window)
{
    std::erase_if(m_members, [window](const auto &entry) { return entry.second.closed < window; });
}

void MemberUsage::hubStored(std::int64_t window, SteadyTime now)
{
    m_storedByHub = std::max(m_storedByHub, window);
    m_lastHubReport = now;
}

bool MemberUsage::isLeftToHub(std::chrono::milliseconds sinceEnd, SteadyTime now) const
{
    return sinceEnd < MemberStoresAfter && now - m_lastHubReport < HubTimeout;
}

} // namespace snipestall::serving
