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

/// Whether a request fits a customer's quota.
struct QuotaVerdict
{
    bool admitted = true;
    /// When refused: how long until as much is free again.
    std::chrono::milliseconds retryAfter { 0 };
    /// What decided it: units that were free, and the customer's rate in units a second.
    double free = 0;
    double rate = 0;
};

/// How far the instances together may exceed a quota in any window, so that the time they need to
/// hear from each other does not cost a customer what is within its quota.
struct QuotaTolerance
{
    std::chrono::milliseconds window { 0 };
    /// Part of what the window allows.
    double overrun = 0;
    /// Units besides.
    double units = 0;
};

/// A peer as it reports use.
struct QuotaPeer
{
    /// Totals of another series say nothing of how these have grown.
    std::uint64_t series = 0;
    /// Instances that it speaks for, and how many of them it has heard within some heartbeats.
    std::uint32_t instances = 1;
    std::uint32_t heardInstances = 1;
    /// It is this instance's hub: it speaks for the whole fleet.
    bool speaksForAll = false;
};

/// Units of one customer's quota since a process started. The totals only grow.
struct QuotaTotals
{
    double taken = 0;
    /// What was asked for, refused requests included.
    double asked = 0;
    /// What instances that miss their reports are taken to have used since; not in the totals.
    double unheardTaken = 0;
    /// Units a second that those instances are asked for.
    double unheardAsked = 0;
};

using QuotaUse = std::unordered_map<std::string, QuotaTotals>;

/// Quotas that all instances share, without asking anyone per request.
///
/// Load: a customer sends several times its quota to all instances at once. Harm: instances that
/// each admit from the whole quota overshoot it by their number; instances that each admit a fixed
/// part refuse a customer whose connections hash to few of them. So each instance keeps the whole
/// bucket, drains it by its own takes and by what its peers say they took, and reckons with what
/// each peer takes until it is heard again at the rate it last showed. The share of a peer that is
/// known but silent is not refilled: it may be serving behind a network partition.
///
/// While more is asked for than there is, instances that all see the bucket fill up would all
/// admit at the same moment, and then refuse everything until the debt is paid; small requests
/// would slip in wherever a large one has to wait. So below half of the burst each request, of
/// whatever size, is admitted with the chance that the supply has to serve the demand. Requests
/// that are tiny beside the rate are exempt as long as the debt is small: refusing them serves
/// nobody else.
class QuotaKeeper
{
public:
    explicit QuotaKeeper(QuotaTolerance tolerance = {}, std::uint64_t seed = 1)
        : m_tolerance(tolerance)
        , m_random(seed)
    { }

    /// Keeps fill levels; a new customer starts with its whole burst.
    void configure(const std::vector<Customer> &customers, SteadyTime now);

    /// This process started while others may be serving. Its buckets start in debt. Until it has
    /// heard the others they fill at its part of the rate only, and not at all before
    /// `registeredInstances` is told.
    void startedAmongOthers(SteadyTime now);
    /// Instances that are registered, this one included.
    void registeredInstances(std::size_t count) { m_registered = count; }

    QuotaVerdict take(const std::string &customer, double units, SteadyTime now);
    /// Units taken for a request that did not run.
    void giveBack(const std::string &customer, double units);
    [[nodiscard]] const QuotaUse &ownUse() const { return m_ownUse; }

    /// A peer's totals, for itself or for all instances it speaks for.
    void peerUse(const std::string &peer, QuotaPeer who, const QuotaUse &use, SteadyTime now);

    /// What a peer says is told by another one, too.
    void forgetPeer(const std::string &peer) { m_peers.erase(peer); }

private:
    /// A peer silent for longer is taken as stopped: its share goes to the others.
    static constexpr std::chrono::seconds PeerKeptFor { 12 };
    /// A peer silent for longer than several heartbeats may be behind a partition.
    static constexpr std::chrono::milliseconds PeerHeardWithin { 1500 };

    /// A peer that is heard later has missed a report: what it is asked for does not fall
    /// meanwhile.
    static constexpr std::chrono::milliseconds ReportInterval { 200 };

    /// After a restart peers are heard within this time, or are gone.
    static constexpr std::chrono::seconds JoiningFor { 5 };
    /// Debt, in time of the rate, with which a process that joins others starts: what all instances
    /// gave out just before, and what each gives out until it has heard the others, is not known
    /// here. With 0.5 s a flood through a restart of 20 instances exceeded the bound by 1%.
    static constexpr std::chrono::milliseconds JoiningDebt { 700 };
    /// By then a process that joins has two reports of each other one, over hubs as well.
    static constexpr std::chrono::milliseconds RatesKnownAfter { 1200 };
    /// Part of the tolerance that is given out as a higher rate; the rest is kept for what several
    /// instances admit at the same moment. With 0.8 a flood at nine
    /// instances exceeded the bound by 0.7%.
    static constexpr double UsedTolerance = 0.5;
    /// Part of the burst below which admission is shared out by chance: above it, what the others
    /// take until they are heard does not empty the bucket.
    static constexpr double PlentifulPart = 0.5;
    /// In which time what is left in the bucket is given out besides the rate, or a debt is paid:
    /// several exchanges of reports, so that the instances follow each other.
    static constexpr std::chrono::milliseconds LevelledWithin { 1000 };
    /// Requests of up to this much of the rate are tiny: a hundred a second of them use it up.
    static constexpr std::chrono::milliseconds TinyRequest { 10 };
    /// Debt, as a part of the burst, up to which tiny requests are admitted; it bounds a flood of
    /// nothing else.
    static constexpr double TinyDebt = 0.25;
    /// Over which time demand is averaged: as long as a surplus lasts that is given out.
    static constexpr std::chrono::milliseconds AskedOver { 1000 };
    /// Over which time a peer's takes are averaged, to reckon with those not yet heard of.
    static constexpr std::chrono::milliseconds TakenOver { 500 };

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
    /// One customer when a hub was last heard.
    struct AtReport
    {
        double level = 0;
        double ownTaken = 0;
    };
    struct PeerUse
    {
        QuotaPeer who;
        SteadyTime heard;
        QuotaUse totals;
        std::unordered_map<std::string, Rates> rates;
        /// Of a hub only.
        std::unordered_map<std::string, AtReport> atReport;
        /// A hub that has fallen silent: what the fleet is taken to have used since, by customer.
        std::unordered_map<std::string, double> charged;
    };

    void refill(Bucket &bucket, SteadyTime now) const;
    [[nodiscard]] static QuotaTotals toldBy(const PeerUse &peer, const std::string &customer);
    [[nodiscard]] double expectedPeerTakes(const std::string &customer, SteadyTime now) const;
    /// Drains what the fleet has used since `hub` was heard, at the rates that it showed.
    void chargeUnheard(PeerUse &hub, SteadyTime now);
    void chargeSilentHub(SteadyTime now);
    void noteLevels(PeerUse &hub);
    [[nodiscard]] double ownTaken(const std::string &customer) const;
    void refundCharged(PeerUse &hub);
    void noteAsked(const std::string &customer, double units, SteadyTime now);
    /// Units a second that all instances are asked for, a request of `units` that has just come
    /// included.
    [[nodiscard]] double demand(const std::string &customer, double units, SteadyTime now) const;
    /// Chance, 0 to 1, that a request is admitted now.
    [[nodiscard]] double admissionChance(const std::string &customer, const Bucket &bucket,
                                         double units, double free, SteadyTime now) const;
    [[nodiscard]] static std::chrono::milliseconds
    pauseAfterRefusal(const Bucket &bucket, double units, double free, double chance);
    [[nodiscard]] bool isJoining(SteadyTime now) const;
    /// Part of the fleet that has been heard within some heartbeats.
    [[nodiscard]] double refillShare(SteadyTime now) const;
    void forgetStoppedPeers(SteadyTime now);
    /// `peer` speaks for the whole fleet from now on.
    void followHub(const std::string &peer, SteadyTime now);

    [[nodiscard]] double usedRate(const Customer &customer) const;

    QuotaTolerance m_tolerance;
    std::optional<SteadyTime> m_joinedAt;
    std::size_t m_registered = 0;
    std::map<std::string, Bucket> m_buckets;
    std::map<std::string, PeerUse> m_peers;
    /// The peer that spoke for the whole fleet last, and what the one before it said.
    std::string m_hub;
    QuotaPeer m_hubBefore;
    SteadyTime m_hubBeforeHeard;
    QuotaUse m_ownUse;
    std::unordered_map<std::string, DecayingRate> m_ownAsked;
    Random m_random;
};

} // namespace snipestall::serving
