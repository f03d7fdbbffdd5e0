#include "snipestall/serving/stream_versions.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

using std::chrono::milliseconds;

void StreamVersions::read(const std::vector<RegisteredVersion> &versions, SteadyTime begunAt,
                          SteadyTime now)
{
    // A slow read may end after a later one.
    if (m_readBegunAt && begunAt < *m_readBegunAt)
        return;
    std::map<StreamOrigin, Version> known;
    for (const RegisteredVersion &each : versions) {
        const auto found = m_versions.find(each.origin);
        known[each.origin] = { each, found == m_versions.end() ? now : found->second.learnedAt };
    }
    m_versions = std::move(known);
    m_readBegunAt = begunAt;
}

bool StreamVersions::mayBegin(const StreamOrigin &origin, SteadyTime now) const
{
    const auto found = m_versions.find(origin);
    if (found == m_versions.end() || found->second.stored.unlistedSince
        || now - *m_readBegunAt > UsedWithin)
        return false;
    return found->second.stored.settled || now - found->second.learnedAt >= SettleTime;
}

std::optional<StreamOrigin> StreamVersions::onlyOrigin(SteadyTime now) const
{
    if (!mayBeOnlyOne() || now - *m_readBegunAt > SettleTime - ReadMargin)
        return std::nullopt;
    return m_versions.begin()->first;
}

bool StreamVersions::mustRegister(const std::set<StreamOrigin> &listed) const
{
    return std::any_of(listed.begin(), listed.end(), [this](const StreamOrigin &origin) {
        const auto found = m_versions.find(origin);
        return found == m_versions.end() ? m_versions.size() < MaxVersions
                                         : found->second.stored.unlistedSince.has_value();
    });
}

std::vector<RegisteredVersion> StreamVersions::row() const
{
    std::vector<RegisteredVersion> versions;
    for (const auto &[origin, version] : m_versions)
        versions.push_back(version.stored);
    return versions;
}

std::vector<RegisteredVersion> StreamVersions::updated(const std::set<StreamOrigin> &listed,
                                                       SteadyTime now) const
{
    std::vector<RegisteredVersion> versions = row();
    for (RegisteredVersion &version : versions) {
        version.settled |= now - m_versions.at(version.origin).learnedAt >= SettleTime;
        if (listed.contains(version.origin))
            version.unlistedSince.reset();
    }
    for (const StreamOrigin &origin : listed) {
        // Without a registered version no stream has begun, so nothing can be missed.
        const bool isFirst = versions.empty();
        if (!m_versions.contains(origin) && versions.size() < MaxVersions)
            versions.push_back({ origin, isFirst, std::nullopt });
    }
    return versions;
}

std::vector<RegisteredVersion> StreamVersions::maintained(std::vector<RegisteredVersion> row,
                                                          const std::set<StreamOrigin> &listed,
                                                          milliseconds storeTime)
{
    for (RegisteredVersion &version : row) {
        if (!listed.contains(version.origin) && !version.unlistedSince)
            version.unlistedSince = storeTime;
    }
    std::erase_if(row, [storeTime](const RegisteredVersion &version) {
        return version.unlistedSince && storeTime - *version.unlistedSince >= RemovedAfter;
    });
    return row;
}

} // namespace snipestall::serving
