#pragma once

#include "snipestall/base/clock.hpp"

#include "exchange.pb.h"

#include <cstdint>
#include <map>
#include <string>

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
    /// Whether another instance has lately reported to this one as to its hub.
    [[nodiscard]] bool hasMembers(SteadyTime now) const;

private:
    /// A source silent for longer has stopped, or is cut off: what it had at servers has ended.
    static constexpr std::chrono::milliseconds LoadsKeptFor { 2500 };
    static constexpr std::chrono::milliseconds CountedFor { 12000 };
    /// Several intervals: a source silent for longer may be behind a network partition.
    static constexpr std::chrono::milliseconds HeardWithin { 1500 };
    static constexpr std::chrono::milliseconds LeaseHeardWithin { 800 };

    using Totals = std::map<std::string, double>;
    /// Totals of one source and what they have grown by since it was first heard.
    struct Series
    {
        Totals seen;
        Totals grown;

        void take(const Totals &totals, bool first);
    };
    struct Sums
    {
        std::map<std::string, exchange::v1::ServerWork> servers;
        Totals use;
        Totals asked;
        Totals work;
    };
    struct Source
    {
        SteadyTime heard;
        std::uint64_t series = 0;
        bool member = false;
        exchange::v1::LoadReport report;
        Series use;
        Series asked;
        Series work;
    };

    /// Each hub of this instance speaks for the whole fleet: only the last one counts.
    void forgetOtherHubs(const std::string &hub);
    /// The hub that spoke for the whole fleet lately; null if there is none.
    [[nodiscard]] const Source *liveHub(SteadyTime now) const;
    static void addSource(const Source &source, SteadyTime now, exchange::v1::LoadReport &report,
                          Sums &sums);
    static void write(const Sums &sums, exchange::v1::LoadReport &report);

    std::map<std::string, Source> m_sources;
};

} // namespace snipestall::gateway
