#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/decaying_rate.hpp"
#include "snipestall/serving/quota_keeper.hpp"
#include "snipestall/serving/server_load.hpp"

#include "exchange.pb.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// Keeps the latest reports of other instances and builds the reports for them.
///
/// A report for a hub covers the sender and the members that report to it; a report for a member
/// covers all instances but the member itself. Totals that only grow must keep growing when they
/// are summed, so the growth of each source since its first report is tracked separately.
class ReportBook
{
public:
    void addReport(const exchange::v1::LoadReport &report, SteadyTime now);
    /// Builds the report for `receiver`. `own` is the report on this instance alone. `asMember` is
    /// true if this instance reports to the receiver as its hub.
    [[nodiscard]] exchange::v1::LoadReport reportFor(const std::string &receiver,
                                                     const exchange::v1::LoadReport &own,
                                                     bool asMember, SteadyTime now) const;
    /// Sets the time within which a source must have reported to count as in contact.
    void setContact(std::chrono::milliseconds contact) { m_contact = contact; }
    /// Returns whether the content of a report that a peer has just sent is also part of the
    /// reports of the hub of this instance, which cover the whole fleet. That happens when another
    /// instance, to which other peers seem to have failed, takes this one for a hub.
    [[nodiscard]] bool isCoveredByHub(const exchange::v1::LoadReport &report, SteadyTime now) const;
    /// Number of instances covered by the sources that have reported recently, this one included.
    [[nodiscard]] std::size_t instances(SteadyTime now) const;
    /// Returns the quota totals of the customers in a report.
    [[nodiscard]] static serving::QuotaUse quotaUse(const exchange::v1::LoadReport &report);
    /// Returns the lowest number of a stage of a service's rollout that any source follows, which
    /// is in contact; the highest number if there is no such source.
    [[nodiscard]] std::uint64_t followedByAll(const std::string &service, SteadyTime now) const;
    /// Returns whether another instance has recently reported to this one as its hub.
    [[nodiscard]] bool hasMembers(SteadyTime now) const;

private:
    /// A source that has not reported for longer has stopped or is cut off, so its requests at
    /// servers have ended.
    static constexpr std::chrono::milliseconds LoadsKeptFor { 2500 };
    /// A source that has not reported for longer counts as stopped.
    static constexpr std::chrono::milliseconds CountedFor { 12000 };
    /// Several intervals. A source that has not reported for longer may be behind a network
    /// partition.
    static constexpr std::chrono::milliseconds ReachableWithin { 1500 };
    static constexpr std::chrono::milliseconds LeaseReportedWithin { 800 };
    /// Two intervals. A source that has not reported for longer has missed a report.
    static constexpr std::chrono::milliseconds OnTimeWithin { 400 };
    /// Time over which the growth of a total is averaged.
    static constexpr std::chrono::milliseconds GrowthAveragedOver { 500 };

    using Totals = std::map<std::string, double>;
    /// Totals that reports carry: used quota units, units asked for, work, counts of rollouts.
    enum Kind { Used, Asked, Work, SlotWork, Rollout };
    static constexpr std::size_t KindsOfTotals = 5;
    using AllTotals = std::array<Totals, KindsOfTotals>;
    static AllTotals totalsOf(const exchange::v1::LoadReport &report);
    /// Totals of one source and their growth since its first report.
    struct Series
    {
        Totals lastTotals;
        Totals totalGrowth;
        std::map<std::string, serving::DecayingRate> rates;

        /// Updates the totals, and adds their growth to each of `sums`.
        void update(const Totals &totals, bool first, SteadyTime now,
                    const std::vector<Totals *> &sums);
        /// Growth per second of one total at the time `lastReportAt`.
        [[nodiscard]] double rateAt(const std::string &name, SteadyTime lastReportAt) const;
    };
    /// Estimated use of sources that have missed a report, in units, and the units per second that
    /// they are asked for.
    struct LateUse
    {
        Totals use;
        Totals asked;
    };
    struct Source
    {
        SteadyTime lastReportAt;
        std::uint64_t series = 0;
        bool member = false;
        /// Whether the sums include the load that the source has at servers.
        bool loadsCounted = false;
        exchange::v1::LoadReport report;
        /// Indexed like SourceSums::totals.
        std::array<Series, KindsOfTotals> totals;
    };

    struct ServerSum
    {
        std::int64_t inFlight = 0;
        std::int64_t pendingTokens = 0;
        std::int64_t heldTokens = 0;
        std::int64_t answered = 0;
        std::int64_t failed = 0;
        std::int64_t pauses = 0;
        std::int64_t pauseMicros = 0;
        std::array<std::int64_t, serving::ServerLoad::Bands> waiting {};
        std::array<std::int64_t, serving::ServerLoad::Bands> bandTokens {};

        bool operator==(const ServerSum &other) const = default;
    };
    /// Sums over several sources, updated with each report, because a hub needs them a hundred
    /// times a second for hundreds of servers.
    struct SourceSums
    {
        std::array<Totals, KindsOfTotals> totals;
        std::map<std::string, ServerSum> servers;
    };

    /// Returns the sums that include a source.
    std::vector<SourceSums *> sumsOf(const Source &source);
    static void subtractGrowth(const Source &source, SourceSums &sums);
    static void addServers(const exchange::v1::LoadReport &report, int factor, SourceSums &sums);
    void subtractServers(Source &source);
    /// Subtracts the loads of sources that have not reported for `LoadsKeptFor`: their requests at
    /// servers have ended.
    void dropExpiredLoads(SteadyTime now);
    /// Removes the reports of all hubs of this instance but `hub`. Each of them covers the whole
    /// fleet, so only the last hub counts.
    void forgetOtherHubs(const std::string &hub);
    /// Returns the hub that has recently reported on the whole fleet; null if there is none.
    [[nodiscard]] const Source *liveHub(SteadyTime now) const;
    static void addSource(const Source &source, SteadyTime now, exchange::v1::LoadReport &report,
                          LateUse &lateUse);
    /// Adds the estimated use of a source that has missed a report. Otherwise the members of the
    /// hub that sums up would grant that part of a quota again until the source counts as stopped.
    static void addLateUse(const Source &source, SteadyTime now, LateUse &lateUse);
    /// Lowers the numbers in a report to those that a source follows.
    void mergeFollowed(const Source &source, SteadyTime now,
                       exchange::v1::LoadReport &report) const;
    static void write(const SourceSums &sums, const LateUse &lateUse,
                      exchange::v1::LoadReport &report);

    std::map<std::string, Source> m_sources;
    /// Sums over all sources but the hubs of this instance (`m_all`), and over the sources that
    /// report to this instance as their hub (`m_members`).
    SourceSums m_all;
    SourceSums m_members;
    std::chrono::milliseconds m_contact { 3000 };
};

} // namespace snipestall::gateway
