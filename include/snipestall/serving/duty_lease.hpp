#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::serving {

/// The stored lease: which process may act on behalf of all instances, and with which fencing
/// token.
struct LeaseRow
{
    /// Name and process of the holder; empty after the lease was released.
    std::string holder;
    /// Fencing token; it grows by one whenever the holder changes.
    std::int64_t fencingToken = 0;
};

/// A conditional write of the lease row; it succeeds only if the row still has `expectedVersion`.
struct LeaseWrite
{
    LeaseRow row;
    /// 0 means that the row must not exist yet.
    std::int64_t expectedVersion = 0;
};

/// Decides which instance may act on behalf of all. The class does no I/O: its user reads and
/// writes the row and reports the results.
///
/// Failure: the holder is suspended, its lease expires and another instance takes over; then the
/// first one resumes and continues to act. It shows as two instances that act alternately. The
/// holder therefore counts its lease from before it sent the renewal that succeeded, on a clock
/// that also runs while the machine is suspended, and calls holds() right before each action.
/// Another instance takes over only after it has itself seen the row unchanged for longer than the
/// lease.
class DutyLease
{
public:
    /// `self` must be different for each process, otherwise a restarted process would inherit its
    /// old lease. `length` is the duration of the lease.
    DutyLease(std::string self, std::chrono::milliseconds length);

    /// Sets whether this instance is one of the few that compete for the lease; by default every
    /// instance is. The other instances take part when no holder has been reported for a while.
    ///
    /// Load: hundreds of instances start at once, or lose the holder at once. Harm: each of them
    /// reads the row and tries to write it, and all but one of these writes fail.
    void setCandidate(bool candidate, SteadyTime now);
    /// Whether this instance may act now.
    [[nodiscard]] bool holds(SteadyTime now) const;
    [[nodiscard]] std::int64_t fencingToken() const { return m_row.fencingToken; }
    /// Whether the row should be read now, depending also on when the holder last reported.
    [[nodiscard]] bool isReadDue(SteadyTime now) const;
    /// The write that takes or renews the lease, if one should be sent now.
    [[nodiscard]] std::optional<LeaseWrite> dueWrite(SteadyTime now) const;
    /// The write that releases the lease; nothing if this instance does not hold it.
    [[nodiscard]] std::optional<LeaseWrite> release() const;

    /// The row was read; version 0 means that it does not exist.
    void rowRead(const LeaseRow &row, std::int64_t version, SteadyTime now);
    /// The write succeeded and gave the row this version.
    void rowWritten(const LeaseWrite &write, std::int64_t version, SteadyTime sentAt);
    /// It is not known whether the write took effect; only a read can tell.
    void writeOutcomeUnknown();
    /// A peer that reports itself as the holder has sent a report; the row need not be read for a
    /// while.
    void holderReported(SteadyTime now);

private:
    [[nodiscard]] bool isOwn() const { return m_row.holder == m_self; }
    /// Whether this instance leaves the lease to the candidates for now.
    [[nodiscard]] bool isStandby(SteadyTime now) const;
    [[nodiscard]] std::chrono::milliseconds renewalInterval() const { return m_length / 3; }

    std::string m_self;
    std::chrono::milliseconds m_length;
    LeaseRow m_row;
    std::int64_t m_version = 0;
    bool m_known = false;
    bool m_mustRead = true;
    /// Set while this instance is not a candidate.
    std::optional<SteadyTime> m_standbySince;
    SteadyTime m_validUntil;
    SteadyTime m_renewedAt;
    /// When the current version was first seen.
    SteadyTime m_versionSeenAt;
    SteadyTime m_readAt;
    SteadyTime m_holderReportedAt;
};

} // namespace snipestall::serving
