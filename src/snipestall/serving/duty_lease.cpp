#include "snipestall/serving/duty_lease.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

namespace {

/// The holder stops acting this much before its lease ends: an act that is on its way arrives
/// before anyone else may act.
constexpr std::chrono::milliseconds StopEarly { 1000 };
/// In lengths of the lease: by then a candidate that lives has taken a lease that lapsed.
constexpr int StandbyLeases = 2;

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

bool DutyLease::standsBy(SteadyTime now) const
{
    // What came of a write of its own is only known from a read.
    if (!m_standbySince || isOwn() || (m_known && m_mustRead))
        return false;
    return now - std::max(*m_standbySince, m_holderHeard) < StandbyLeases * m_length;
}

bool DutyLease::holds(SteadyTime now) const
{
    return m_known && isOwn() && now < m_validUntil - StopEarly;
}

bool DutyLease::wantsRead(SteadyTime now) const
{
    if (standsBy(now))
        return false;
    if (m_mustRead)
        return true;
    if (holds(now))
        return false;
    const bool heard = now - m_holderHeard < m_length / 2;
    return !heard && now - m_readAt >= m_length / 3;
}

std::optional<LeaseWrite> DutyLease::wantsWrite(SteadyTime now) const
{
    if (!m_known || m_mustRead || standsBy(now))
        return std::nullopt;
    if (isOwn()) {
        if (now - m_renewedAt < renewEvery())
            return std::nullopt;
        return LeaseWrite { m_row, m_version };
    }
    const bool free = m_row.holder.empty();
    const bool lapsed = now - m_seenSince > m_length && now - m_holderHeard > m_length / 2;
    if (!free && !lapsed)
        return std::nullopt;
    return LeaseWrite { { m_self, m_row.fence + 1 }, m_version };
}

std::optional<LeaseWrite> DutyLease::release() const
{
    if (!m_known || !isOwn())
        return std::nullopt;
    return LeaseWrite { { std::string(), m_row.fence }, m_version };
}

void DutyLease::sawRow(const LeaseRow &row, std::int64_t version, SteadyTime now)
{
    if (!m_known || version != m_version)
        m_seenSince = now;
    m_known = true;
    m_mustRead = false;
    m_row = row;
    m_version = version;
    m_readAt = now;
    // Found as our own after a write whose answer was lost: valid only from the next renewal on,
    // since when that write took effect is not known.
    if (!isOwn())
        m_validUntil = {};
}

void DutyLease::wrote(const LeaseWrite &write, std::int64_t version, SteadyTime sentAt)
{
    m_known = true;
    m_mustRead = false;
    m_row = write.row;
    m_version = version;
    m_renewedAt = sentAt;
    m_seenSince = sentAt;
    m_readAt = sentAt;
    m_validUntil = isOwn() ? sentAt + m_length : SteadyTime {};
}

void DutyLease::writeUnknown()
{
    m_mustRead = true;
}

void DutyLease::holderHeard(SteadyTime now)
{
    m_holderHeard = now;
}

} // namespace snipestall::serving
