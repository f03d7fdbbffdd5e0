#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/serving/customer.hpp"
#include "snipestall/serving/decaying_rate.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::serving {

/// The decision whether a request fits into the quota of a customer.
struct QuotaDecision
{
    bool admitted = true;
    /// For a refused request: time until the same amount may be free again.
    std::chrono::milliseconds retryAfter { 0 };
    /// For a refused request: the units that were free, and the rate of the customer in units per
    /// second.
    double free = 0;
    double rate = 0;
};

/// By how much all instances together may exceed a quota in any window, so that the delay of the
/// reports between them does not cost a customer a part of its quota.
struct QuotaTolerance
{
    std::chrono::milliseconds window { 0 };
    /// Part of what the quota allows in the window.
    double overrun = 0;
    /// Additional units.
    double units = 0;
};

/// What a peer reports about itself together with its use.
struct QuotaPeer
{
    /// Identifies the totals; totals of another series cannot be compared with earlier ones.
    std::uint64_t series = 0;
    /// Number of instances whose use the peer reports, and how many of them have reported to it
    /// within the last heartbeats.
    std::uint32_t instances = 1;
    std::uint32_t reportingInstances = 1;
    /// Whether the peer is the hub of this instance, whose report covers all instances.
    bool isHub = false;
};

/// Units of one customer's quota since a process started. The first two are totals that only grow.
struct QuotaTotals
{
    double taken = 0;
    /// Units requested, including refused requests.
    double asked = 0;
    /// Estimated use, since their last report, of instances whose reports are overdue; not included
    /// in the totals.
    double estimatedTaken = 0;
    /// Units per second that are requested from those instances.
    double estimatedAskedRate = 0;
};

using QuotaUse = std::unordered_map<std::string, QuotaTotals>;

/// Quotas that all instances share, without a message per request.
///
/// Load: a customer sends several times its quota to all instances at once. Harm: if each instance
/// admitted from the whole quota, the instances would exceed it by a factor of their number; if
/// each admitted a fixed part, they would refuse requests of a customer whose connections hash to
/// few instances. Each instance therefore keeps the whole bucket, subtracts its own use and the use
/// that its peers report, and assumes that each peer continues at its last observed rate until the
/// next report arrives. The share of a known peer that has not reported recently is not refilled,
/// because that peer may still be serving behind a network partition.
///
/// While more is requested than is available, instances that all see the bucket fill up would all
/// admit requests at the same moment and then refuse everything until the debt is paid, and small
/// requests would be admitted wherever a large one has to wait. Below half of the burst, each
/// request of any size is therefore admitted with a probability of supply divided by demand.
/// Requests that are tiny relative to the rate are exempt as long as the debt is small, because
/// refusing them does not help any other request.
class QuotaKeeper
{
public:
    explicit QuotaKeeper(QuotaTolerance tolerance = {}, std::uint64_t seed = 1)
        : m_tolerance(tolerance)
        , m_random(seed)
    { }

    /// Sets the quotas. Buckets of known customers keep their level; a new customer starts with its
    /// whole burst.
    void configure(const std::vector<Customer> &customers, SteadyTime now);

    /// To be called if this process starts while other instances may be serving. Its buckets start
    /// in debt. Until the other instances have reported, the buckets fill only at the share of this
    /// instance in the rate, and not at all before setRegisteredInstances() has been called.
    void joinFleet(SteadyTime now);
    /// Sets the number of registered instances, including this one.
    void setRegisteredInstances(std::size_t count) { m_registered = count; }

    /// Takes `units` from the quota of `customer`, if the request is admitted.
    QuotaDecision take(const std::string &customer, double units, SteadyTime now);
    /// Gives back the units taken for a request that did not run.
    void refund(const std::string &customer, double units);
    /// The totals of this process.
    [[nodiscard]] const QuotaUse &ownUse() const { return m_ownUse; }
    /// Units per second that `customer` asks of all instances, including refused requests.
    [[nodiscard]] double askedRate(const std::string &customer, SteadyTime now) const
    {
        return demand(customer, 0, now);
    }

    /// Applies the totals that a peer reports, for itself or for all instances that it covers.
    void updatePeerUse(const std::string &peer, QuotaPeer info, const QuotaUse &use,
                       SteadyTime now);

    /// Drops a peer whose use another peer also reports.
    void forgetPeer(const std::string &peer) { m_peers.erase(peer); }

private:
    /// A peer that has not reported for longer is taken as stopped, and its share goes to the
    /// others.
    static constexpr std::chrono::seconds PeerExpiry { 12 };
    /// A peer that has not reported for longer than this, which is several heartbeats, may be
    /// behind a partition.
    static constexpr std::chrono::milliseconds PeerTimeout { 1500 };

    /// The report of a peer is overdue after this time; the demand at that peer is then assumed not
    /// to fall any further.
    static constexpr std::chrono::milliseconds ReportInterval { 200 };

    /// After a restart, every peer that still runs has reported within this time.
    static constexpr std::chrono::seconds JoinPeriod { 5 };
    /// Debt, as time at the full rate, with which a process starts that joins others, because it
    /// does not know what all instances admitted just before, nor what each of them admits until it
    /// has received the reports of the others. With 0.5 s, a flood during a restart of 20 instances
    /// exceeded the bound by 1%.
    static constexpr std::chrono::milliseconds JoinDebt { 700 };
    /// Within this time a joining process has received two reports of every other process,
    /// including those that hubs pass on.
    static constexpr std::chrono::milliseconds RatesKnownAfter { 1200 };
    /// Part of the tolerance that is used as a higher rate; the rest is reserved for what several
    /// instances admit at the same moment. With 0.8, a flood at nine instances exceeded the bound
    /// by 0.7%.
    static constexpr double ToleranceInRate = 0.5;
    /// Part of the burst below which requests are admitted at random. Above it, the use of the
    /// other instances until their next reports does not empty the bucket.
    static constexpr double UnrestrictedFraction = 0.5;
    /// Time within which the remaining level of the bucket is used up in addition to the rate, or a
    /// debt is paid: several exchanges of reports, so that the instances can follow each other.
    static constexpr std::chrono::milliseconds BalancingTime { 1000 };
    /// Requests of up to this much time at the full rate are tiny: a hundred of them per second use
    /// up the rate.
    static constexpr std::chrono::milliseconds TinyRequest { 10 };
    /// Debt, as a part of the burst, up to which tiny requests are admitted; it limits a flood that
    /// consists only of tiny requests.
    static constexpr double MaxDebtForTiny = 0.25;
    /// Averaging period of the demand: as long as the time in which a surplus is used up.
    static constexpr std::chrono::milliseconds DemandPeriod { 1000 };
    /// Averaging period of the use of a peer, for estimating its use since its last report.
    static constexpr std::chrono::milliseconds UsePeriod { 500 };

    struct Bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        SteadyTime filledAt;
    };
    struct Rates
    {
        DecayingRate taken;
        DecayingRate asked;
    };
    /// State of one customer at the time of the last report of the hub.
    struct LevelAtReport
    {
        double level = 0;
        double ownTaken = 0;
    };
    struct PeerUse
    {
        QuotaPeer info;
        SteadyTime lastReportAt;
        QuotaUse totals;
        std::unordered_map<std::string, Rates> rates;
        /// Used only for a hub.
        std::unordered_map<std::string, LevelAtReport> levelsAtReport;
        /// For a hub whose reports are overdue: the estimated use of all instances since its last
        /// report, by customer.
        std::unordered_map<std::string, double> charged;
    };

    void refill(Bucket &bucket, SteadyTime now) const;
    [[nodiscard]] static QuotaTotals reportedTotals(const PeerUse &peer,
                                                    const std::string &customer);
    /// Estimated use of the peers since their last reports.
    [[nodiscard]] double estimatedPeerUse(const std::string &customer, SteadyTime now) const;
    /// Subtracts the estimated use of all instances since the last report of `hub`, at the last
    /// observed rates, from the buckets.
    void chargeEstimatedUse(PeerUse &hub, SteadyTime now);
    /// Calls chargeEstimatedUse() if the reports of the hub are overdue.
    void chargeOverdueHub(SteadyTime now);
    /// Records the levels at the time of the report of `hub`.
    void recordLevels(PeerUse &hub);
    [[nodiscard]] double ownTaken(const std::string &customer) const;
    /// Gives back what was subtracted as an estimate since the last report of `hub`.
    void refundCharged(PeerUse &hub);
    void recordDemand(const std::string &customer, double units, SteadyTime now);
    /// Units per second that are requested from all instances, including a request of `units` that
    /// has just arrived.
    [[nodiscard]] double demand(const std::string &customer, double units, SteadyTime now) const;
    /// Probability, from 0 to 1, that a request is admitted now.
    [[nodiscard]] double admissionProbability(const std::string &customer, const Bucket &bucket,
                                              double units, double free, SteadyTime now) const;
    /// Time after which the caller of a refused request is told to try again.
    [[nodiscard]] static std::chrono::milliseconds
    pauseAfterRefusal(const Bucket &bucket, double units, double free, double probability);
    /// Whether this process has joined others so recently that not all have reported yet.
    [[nodiscard]] bool isJoining(SteadyTime now) const;
    /// Part of all instances that have reported within the last heartbeats.
    [[nodiscard]] double refillShare(SteadyTime now) const;
    void forgetStoppedPeers(SteadyTime now);
    /// Makes `peer` the hub, whose reports cover all instances from now on.
    void followHub(const std::string &peer, SteadyTime now);

    /// The rate of the quota plus the part of the tolerance that is used as a higher rate.
    [[nodiscard]] double effectiveRate(const Customer &customer) const;

    QuotaTolerance m_tolerance;
    std::optional<SteadyTime> m_joinedAt;
    std::size_t m_registered = 0;
    std::map<std::string, Bucket> m_buckets;
    std::map<std::string, PeerUse> m_peers;
    /// The last hub, and what the hub before it reported about itself.
    std::string m_hub;
    QuotaPeer m_previousHub;
    SteadyTime m_previousHubReportAt;
    QuotaUse m_ownUse;
    std::unordered_map<std::string, DecayingRate> m_ownAsked;
    Random m_random;
};

} // namespace snipestall::serving
