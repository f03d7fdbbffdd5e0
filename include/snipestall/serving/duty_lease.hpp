#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::serving {

/// The lease row: who may act on the system's behalf, and under which fencing number.
struct LeaseRow
{
    /// Name and process of the holder; empty when it was given up.
    std::string holder;
    /// Grows by one whenever the holder changes.
    std::int64_t fence = 0;
};

/// The write that a lease asks for, on condition that the row still has `expectedVersion`.
struct LeaseWrite
{
    LeaseRow row;
    /// 0: the row must not exist yet.
    std::int64_t expectedVersion = 0;
};

/// Decides who may act alone. Pure: the caller reads and writes the row and says what came of it.
///
/// Failure: a holder is paused, its lease lapses and another one acts; then it wakes and goes on.
/// It shows as two instances that act in turns. The holder therefore counts its lease from before
/// it sent the renewal that succeeded, on a clock that also runs while it is suspended, and asks
/// `holds` right before each act; a follower takes over only after it has itself seen the row
/// unchanged for longer than a lease.
class DutyLease
{
public:
    /// `self` must be new for each process, or a restarted one would inherit its old lease.
    DutyLease(std::string self, std::chrono::milliseconds length);

    /// Whether this instance is one of the few that compete for the lease; all do by default. The
    /// others step in when no holder has been heard for a while.
    ///
    /// Load: hundreds of instances start at once, or lose the holder at once. Harm: each reads the
    /// row and tries to write it, and all but one in vain.
    void setCandidate(bool candidate, SteadyTime now);
    [[nodiscard]] bool holds(SteadyTime now) const;
    [[nodiscard]] std::int64_t fence() const { return m_row.fence; }
    /// Whether the row should be read or written now, given when the holder was last heard of.
    [[nodiscard]] bool wantsRead(SteadyTime now) const;
    [[nodiscard]] std::optional<LeaseWrite> wantsWrite(SteadyTime now) const;
    /// The write that gives the lease up, if it is held.
    [[nodiscard]] std::optional<LeaseWrite> release() const;

    /// The row as read; version 0 if there is none.
    void sawRow(const LeaseRow &row, std::int64_t version, SteadyTime now);
    void wrote(const LeaseWrite &write, std::int64_t version, SteadyTime sentAt);
    /// The write may or may not have taken effect: only a read can tell.
    void writeUnknown();
    /// A peer that says it holds the lease was heard; nothing needs to be read meanwhile.
    void holderHeard(SteadyTime now);

private:
    [[nodiscard]] bool isOwn() const { return m_row.holder == m_self; }
    /// Leaves the lease to the candidates.
    [[nodiscard]] bool standsBy(SteadyTime now) const;
    [[nodiscard]] std::chrono::milliseconds renewEvery() const { return m_length / 3; }

    std::string m_self;
    std::chrono::milliseconds m_length;
    LeaseRow m_row;
    std::int64_t m_version = 0;
    bool m_known = false;
    bool m_mustRead = true;
    /// Set while this instance is no candidate.
    std::optional<SteadyTime> m_standbySince;
    SteadyTime m_validUntil;
    SteadyTime m_renewedAt;
    /// When the present version was first seen.
    SteadyTime m_seenSince;
    SteadyTime m_readAt;
    SteadyTime m_holderHeard;
};

} // namespace snipestall::serving
