#include "snipestall/serving/duty_lease.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

namespace {

/// The holder stops acting this long before its lease ends, so that an action that is under way
/// arrives before another instance may act.
constexpr std::chrono::milliseconds SafetyMargin { 1000 };
/// In lease durations: within this time a running candidate has taken an expired lease.
constexpr int StandbyDuration = 2;

} // namespace

DutyLease::DutyLease(std::string self, std::chrono::milliseconds length)
    : m_self(std::move(self))
    , m_length(length)
{ }

void DutyLease::setCandidate(bool candidate, SteadyTime now)
{
    if (candidate)
        m_standbySince.reset();
    else if (!m_standbySince)
        m_standbySince = now;
}

bool DutyLease::isStandby(SteadyTime now) const
{
    // The result of a write of this instance is known only after a read.
    if (!m_standbySince || isOwn() || (m_known && m_mustRead))
        return false;
    return now - std::max(*m_standbySince, m_holderReportedAt) < StandbyDuration * m_length;
}

bool DutyLease::holds(SteadyTime now) const
{
    return m_known && isOwn() && now < m_validUntil - SafetyMargin;
}

bool DutyLease::isReadDue(SteadyTime now) const
{
    if (isStandby(now))
        return false;
    if (m_mustRead)
        return true;
    if (holds(now))
        return false;
    const bool reported = now - m_holderReportedAt < m_length / 2;
    return !reported && now - m_readAt >= m_length / 3;
}

std::optional<LeaseWrite> DutyLease::dueWrite(SteadyTime now) const
{
    if (!m_known || m_mustRead || isStandby(now))
        return std::nullopt;
    if (isOwn()) {
        if (now - m_renewedAt < renewalInterval())
            return std::nullopt;
        return LeaseWrite { m_row, m_version };
    }
    const bool free = m_row.holder.empty();
    const bool expired =
        now - m_versionSeenAt > m_length && now - m_holderReportedAt > m_length / 2;
    if (!free && !expired)
        return std::nullopt;
    return LeaseWrite { { m_self, m_row.fencingToken + 1 }, m_version };
}

std::optional<LeaseWrite> DutyLease::release() const
{
    if (!m_known || !isOwn())
        return std::nullopt;
    return LeaseWrite { { std::string(), m_row.fencingToken }, m_version };
}

void DutyLease::rowRead(const LeaseRow &row, std::int64_t version, SteadyTime now)
{
    if (!m_known || version != m_version)
        m_versionSeenAt = now;
    m_known = true;
    m_mustRead = false;
    m_row = row;
    m_version = version;
    m_readAt = now;
    // A row that names this instance may come from a write whose answer was lost. It is not known
    // when that write took effect, so the lease is valid only from the next renewal on.
    if (!isOwn())
        m_validUntil = {};
}

void DutyLease::rowWritten(const LeaseWrite &write, std::int64_t version, SteadyTime sentAt)
{
    m_known = true;
    m_mustRead = false;
    m_row = write.row;
    m_version = version;
    m_renewedAt = sentAt;
    m_versionSeenAt = sentAt;
    m_readAt = sentAt;
    m_validUntil = isOwn() ? sentAt + m_length : SteadyTime {};
}

void DutyLease::writeOutcomeUnknown()
{
    m_mustRead = true;
}

void DutyLease::holderReported(SteadyTime now)
{
    m_holderReportedAt = now;
}

} // namespace snipestall::serving
