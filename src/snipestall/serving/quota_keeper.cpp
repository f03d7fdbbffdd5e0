#include "snipestall/serving/quota_keeper.hpp"

#include <algorithm>
#include <cmath>

namespace snipestall::serving {

namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of the newest interval in a peer's rate; heartbeats come several times a second.
constexpr double RateSmoothing = 0.4;
/// A refused caller is not told to come back sooner: a shorter pause only adds refusals.
constexpr std::chrono::milliseconds ShortestPause { 100 };

} // namespace

void QuotaKeeper::startedAmongOthers(SteadyTime now)
{
    m_joinedAt = now;
}

double QuotaKeeper::burstOf(const Customer &customer) const
{
    const double window = Seconds(m_tolerance.window).count();
    const double allowed = customer.ratePerSecond * window + customer.burst;
    // The fixed part of the tolerance is in tokens where the quota is.
    const double units = customer.countsTokens ? m_tolerance.units : 0;
    return customer.burst + UsedTolerance * (allowed * m_tolerance.overrun + units);
}

void QuotaKeeper::configure(const std::vector<Customer> &customers, double initialFill,
                            SteadyTime now)
{
    std::map<std::string, Bucket> buckets;
    for (const Customer &customer : customers) {
        if (customer.ratePerSecond <= 0)
            continue;
        const double burst = burstOf(customer);
        Bucket bucket { customer.ratePerSecond, burst, burst * initialFill, now };
        const auto known = m_buckets.find(customer.name);
        if (known != m_buckets.end()) {
            refill(known->second, now);
            // A lowered quota counts from now on: what is left of the old burst is cut.
            bucket.level = std::min(known->second.level, burst);
        }
        buckets.emplace(customer.name, bucket);
    }
    m_buckets = std::move(buckets);
}

double QuotaKeeper::refillShare(SteadyTime now) const
{
    std::size_t heard = 1;
    std::size_t known = 1;
    for (const auto &[name, peer] : m_peers) {
        const auto silent = now - peer.heard;
        if (silent > PeerKeptFor)
            continue;
        known += peer.who.instances;
        if (silent <= PeerHeardWithin)
            heard += peer.who.instances;
    }
    if (m_joinedAt && now - *m_joinedAt < JoiningFor) {
        if (m_registered == 0)
            return 0;
        known = std::max(known, m_registered);
    }
    return static_cast<double>(heard) / static_cast<double>(known);
}

void QuotaKeeper::refill(Bucket &bucket, SteadyTime now) const
{
    const double seconds = std::max(0.0, Seconds(now - bucket.filledAt).count());
    bucket.level = std::min(bucket.burst, bucket.level + seconds * bucket.rate * refillShare(now));
    bucket.filledAt = now;
}

double QuotaKeeper::expectedPeerTakes(const std::string &customer, SteadyTime now) const
{
    double expected = 0;
    for (const auto &[name, peer] : m_peers) {
        const auto rate = peer.rates.find(customer);
        if (rate == peer.rates.end())
            continue;
        const auto silent = std::min<SteadyTime::duration>(now - peer.heard, PeerHeardWithin);
        expected += rate->second * std::max(0.0, Seconds(silent).count());
    }
    return expected;
}

QuotaVerdict QuotaKeeper::take(const std::string &customer, double units, SteadyTime now)
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return {};
    Bucket &bucket = found->second;
    refill(bucket, now);
    const double free = bucket.level - expectedPeerTakes(customer, now);
    // A request larger than the whole burst runs once the bucket is full and leaves a debt.
    if (free < std::min(units, bucket.burst)) {
        const double missing = std::min(units, bucket.burst) - free;
        const auto wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(Seconds(missing / bucket.rate));
        return { false, std::max(wait, ShortestPause) };
    }
    bucket.level -= units;
    m_ownUse[customer] += units;
    return {};
}

void QuotaKeeper::giveBack(const std::string &customer, double units)
{
    const auto found = m_buckets.find(customer);
    if (found != m_buckets.end())
        found->second.level = std::min(found->second.burst, found->second.level + units);
    // The total that peers see only grows; they drained these units too and refill them in time.
}

void QuotaKeeper::forgetStoppedPeers(SteadyTime now)
{
    std::erase_if(m_peers,
                  [now](const auto &entry) { return now - entry.second.heard > PeerKeptFor; });
}

void QuotaKeeper::peerUse(const std::string &peer, QuotaPeer who, const QuotaUse &use,
                          SteadyTime now)
{
    forgetStoppedPeers(now);
    PeerUse &known = m_peers[peer];
    const bool first = known.who.incarnation != who.incarnation;
    if (first) {
        known = {};
        known.heard = now;
    }
    known.who = who;
    const double passed = Seconds(now - known.heard).count();
    for (const auto &[customer, total] : use) {
        // What a peer took before it was first heard of was drained there, not here; it counts in
        // full only if it is recent, which a total can't tell, so nothing is drained for it.
        const double taken = first ? 0 : std::max(0.0, total - known.totals[customer]);
        known.totals[customer] = total;
        if (passed > 0) {
            double &rate = known.rates[customer];
            rate += (taken / passed - rate) * RateSmoothing;
        }
        const auto bucket = m_buckets.find(customer);
        if (bucket == m_buckets.end() || taken <= 0)
            continue;
        refill(bucket->second, now);
        bucket->second.level -= taken;
    }
    known.heard = now;
}

} // namespace snipestall::serving
