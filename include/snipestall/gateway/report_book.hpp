#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/decaying_rate.hpp"
#include "snipestall/serving/quota_keeper.hpp"

#include "exchange.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// What other instances have reported, and what each of them is to be told.
///
/// A hub is told about the sender and the members that report to it; a member about everybody else.
/// Totals that only grow stay so when they are summed: each source's growth is kept apart, from
/// when it was first heard.
class ReportBook
{
public:
    void take(const exchange::v1::LoadReport &report, SteadyTime now);
    /// `own`: this instance alone. `asMember`: this instance reports to the receiver as its hub.
    [[nodiscard]] exchange::v1::LoadReport reportFor(const std::string &receiver,
                                                     const exchange::v1::LoadReport &own,
                                                     bool asMember, SteadyTime now) const;
    /// Whether what this instance has just been told by a peer is also told by its hub, which
    /// speaks for the whole fleet: another instance, which sees other peers as failed, has taken
    /// this one for a hub.
    [[nodiscard]] bool isCovered(const exchange::v1::LoadReport &report, SteadyTime now) const;
    /// Instances that speak through the sources heard lately, this one included.
    [[nodiscard]] std::size_t instances(SteadyTime now) const;
    /// What a report says of the customers' quotas.
    [[nodiscard]] static serving::QuotaUse quotaUse(const exchange::v1::LoadReport &report);
    /// Whether another instance has lately reported to this one as to its hub.
    [[nodiscard]] bool hasMembers(SteadyTime now) const;

private:
    /// A source silent for longer has stopped, or is cut off: what it had at servers has ended.
    static constexpr std::chrono::milliseconds LoadsKeptFor { 2500 };
    static constexpr std::chrono::milliseconds CountedFor { 12000 };
    /// Several intervals: a source silent for longer may be behind a network partition.
    static constexpr std::chrono::milliseconds HeardWithin { 1500 };
    static constexpr std::chrono::milliseconds LeaseHeardWithin { 800 };
    /// Two intervals: a source that is silent for longer has missed a report.
    static constexpr std::chrono::milliseconds ReportsWithin { 400 };
    /// Over which time the growth of a total is averaged.
    static constexpr std::chrono::milliseconds GrownOver { 500 };

    using Totals = std::map<std::string, double>;
    /// Totals of one source and what they have grown by since it was first heard.
    struct Series
    {
        Totals seen;
        Totals grown;
        std::map<std::string, serving::DecayingRate> rates;

        /// Adds the growth to each of `sums`, too.
        void take(const Totals &totals, bool first, SteadyTime now,
                  const std::vector<Totals *> &sums);
        /// Growth a second of one total, as it was at `heard`.
        [[nodiscard]] double rateAt(const std::string &name, SteadyTime heard) const;
    };
    /// What silent sources are taken to use and to be asked for.
    struct Unheard
    {
        Totals use;
        Totals asked;
    };
    struct Source
    {
        SteadyTime heard;
        std::uint64_t series = 0;
        bool member = false;
        /// Whether the sums hold what it has at servers.
        bool loadsCounted = false;
        exchange::v1::LoadReport report;
        Series use;
        Series asked;
        Series work;
    };

    struct ServerSum
    {
        std::int64_t inFlight = 0;
        std::int64_t pendingTokens = 0;
        std::int64_t heldTokens = 0;

        bool operator==(const ServerSum &other) const = default;
    };
    /// Sums of several sources, kept up to date with each report: a hub is asked for them a hundred
    /// times a second, for hundreds of servers.
    struct SourceSums
    {
        Totals use;
        Totals asked;
        Totals work;
        std::map<std::string, ServerSum> servers;
    };

    /// The sums of which a source is part.
    std::vector<SourceSums *> sumsOf(const Source &source);
    static void subtractGrowth(const Source &source, SourceSums &sums);
    static void addServers(const exchange::v1::LoadReport &report, int factor, SourceSums &sums);
    void subtractServers(Source &source);
    /// What silent sources had at servers has ended.
    void dropSilentLoads(SteadyTime now);
    /// Each hub of this instance speaks for the whole fleet: only the last one counts.
    void forgetOtherHubs(const std::string &hub);
    /// The hub that spoke for the whole fleet lately; null if there is none.
    [[nodiscard]] const Source *liveHub(SteadyTime now) const;
    static void addSource(const Source &source, SteadyTime now, exchange::v1::LoadReport &report,
                          Unheard &unheard);
    /// Counts what a source that misses its reports is taken to use. Without it, members of the hub
    /// that sums up would give out that part of a quota again until the source counts as silent.
    static void addUnheard(const Source &source, SteadyTime now, Unheard &unheard);
    static void write(const SourceSums &sums, const Unheard &unheard,
                      exchange::v1::LoadReport &report);

    std::map<std::string, Source> m_sources;
    /// Of all sources but this instance's own hubs, and of those that report to it as to their hub.
    SourceSums m_all;
    SourceSums m_members;
};

} // namespace snipestall::gateway
