#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/stream_origin.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace snipestall::serving {

/// A version whose servers may begin streams, as it is stored.
struct RegisteredVersion
{
    StreamOrigin origin;
    /// Whether every instance can know of it.
    bool settled = false;
    /// Since when no server of it has been listed, on the clock of the store.
    std::optional<std::chrono::milliseconds> unlistedSince;

    bool operator==(const RegisteredVersion &other) const = default;
};

/// The software versions whose servers may begin streams, agreed on in one row of the store.
///
/// Failure: all instances are killed, and with them the records of who began which stream. If there
/// is a single version, its streams could still go on, but a process that has just started can't
/// tell whether another version has begun streams that it does not see any more. So a version is
/// registered before any of its servers begins a stream, and used only `SettleTime` later: a read
/// of the row that is younger than that shows every version that can have begun a stream. A version
/// is taken out of the row long after its last server; an instance that has not read the row for
/// nearly as long uses none.
class StreamVersions
{
public:
    /// Time between the registration of a version and its first use, in which reads of the row that
    /// do not show it expire.
    static constexpr std::chrono::milliseconds SettleTime { 1000 };

    /// The row was read, or written by this instance; the call began at `begunAt`.
    void read(const std::vector<RegisteredVersion> &versions, SteadyTime begunAt, SteadyTime now);
    [[nodiscard]] bool known() const { return m_readBegunAt.has_value(); }
    /// When the newest read of the row began.
    [[nodiscard]] std::optional<SteadyTime> readBegunAt() const { return m_readBegunAt; }
    /// Whether servers of a version may begin streams.
    [[nodiscard]] bool mayBegin(const StreamOrigin &origin, SteadyTime now) const;
    /// Returns the only version that may have begun streams by now, if that is certain.
    [[nodiscard]] std::optional<StreamOrigin> onlyOrigin(SteadyTime now) const;
    /// Whether a newer read of the row would give the only version.
    [[nodiscard]] bool mayBeOnlyOne() const { return m_versions.size() == 1; }

    /// Whether more than one version may have begun streams, as far as this instance knows.
    [[nodiscard]] bool several() const { return m_versions.size() > 1; }

    /// Returns whether listed versions have to be registered.
    [[nodiscard]] bool mustRegister(const std::set<StreamOrigin> &listed) const;
    /// Returns the row with the listed versions, and with those settled that were learned long
    /// enough ago.
    [[nodiscard]] std::vector<RegisteredVersion> updated(const std::set<StreamOrigin> &listed,
                                                         SteadyTime now) const;
    /// Returns `row` without the versions that have had no server for long. To be written by one
    /// instance, whose list is complete. `storeTime`: time on the clock of the store.
    static std::vector<RegisteredVersion> maintained(std::vector<RegisteredVersion> row,
                                                     const std::set<StreamOrigin> &listed,
                                                     std::chrono::milliseconds storeTime);
    /// The row as it was last read.
    [[nodiscard]] std::vector<RegisteredVersion> row() const;

private:
    /// Part of SettleTime that is left for differences between clocks.
    static constexpr std::chrono::milliseconds ReadMargin { 100 };
    /// A partition between regions may last for an hour or more.
    static constexpr std::chrono::hours RemovedAfter { 4 };
    static constexpr std::chrono::hours UsedWithin { 3 };
    /// Bounds what a faulty list can make the row hold.
    static constexpr std::size_t MaxVersions = 200;

    struct Version
    {
        RegisteredVersion stored;
        SteadyTime learnedAt;
    };

    std::map<StreamOrigin, Version> m_versions;
    std::optional<SteadyTime> m_readBegunAt;
};

} // namespace snipestall::serving
