#include "snipestall/serving/quota_keeper.hpp"

#include <algorithm>
#include <cmath>

namespace snipestall::serving {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/// A refused caller is not told to come back sooner: a shorter pause only adds refusals.
constexpr milliseconds ShortestPause { 100 };
/// Callers wait a third of the time they have left at most; longer pauses only put off the answer
/// that it was in vain.
constexpr milliseconds LongestPause { 5000 };

} // namespace

void QuotaKeeper::startedAmongOthers(SteadyTime now)
{
    m_joinedAt = now;
}

double QuotaKeeper::usedRate(const Customer &customer) const
{
    const double window = Seconds(m_tolerance.window).count();
    if (window <= 0)
        return customer.ratePerSecond;
    const double allowed = customer.ratePerSecond * window + customer.burst;
    // The fixed part of the tolerance is in tokens where the quota is.
    const double units = customer.countsTokens ? m_tolerance.units : 0;
    const double tolerated = allowed * m_tolerance.overrun + units;
    return customer.ratePerSecond + UsedTolerance * tolerated / window;
}

void QuotaKeeper::configure(const std::vector<Customer> &customers, SteadyTime now)
{
    std::map<std::string, Bucket> buckets;
    for (const Customer &customer : customers) {
        if (customer.ratePerSecond <= 0)
            continue;
        const double rate = usedRate(customer);
        const double burst = customer.burst;
        const bool inDebt = m_joinedAt && m_buckets.empty();
        Bucket bucket { rate, burst, inDebt ? -rate * Seconds(JoiningDebt).count() : burst, now };
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

bool QuotaKeeper::isJoining(SteadyTime now) const
{
    return m_joinedAt && now - *m_joinedAt < JoiningFor;
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
            heard += peer.who.heardInstances;
    }
    // An instance that has just become a hub has not heard everybody yet. Whom the hub before had
    // heard has not fallen silent since.
    if (now - m_hubBeforeHeard <= PeerHeardWithin) {
        heard = std::max<std::size_t>(heard, 1 + m_hubBefore.heardInstances);
        known = std::max<std::size_t>(known, 1 + m_hubBefore.instances);
    }
    // While members change their hub, they are counted where they were and where they are.
    // Instances that were added since the list was read are no such members: they speak for
    // themselves here.
    if (m_registered > 0) {
        const std::size_t most = std::max(m_registered, m_peers.size() + 1);
        heard = std::min(heard, most);
        known = std::clamp(known, heard, most);
    }
    if (isJoining(now)) {
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

QuotaTotals QuotaKeeper::toldBy(const PeerUse &peer, const std::string &customer)
{
    const auto found = peer.totals.find(customer);
    return found == peer.totals.end() ? QuotaTotals() : found->second;
}

double QuotaKeeper::expectedPeerTakes(const std::string &customer, SteadyTime now) const
{
    double expected = 0;
    for (const auto &[name, peer] : m_peers) {
        const auto rate = peer.rates.find(customer);
        if (rate == peer.rates.end())
            continue;
        if (peer.who.speaksForAll && now - peer.heard > PeerHeardWithin)
            continue; // chargeSilentHub() has drained it.
        const auto silent = std::min<SteadyTime::duration>(now - peer.heard, PeerHeardWithin);
        expected += toldBy(peer, customer).unheardTaken;
        expected +=
            rate->second.taken.at(TakenOver, peer.heard) * std::max(0.0, Seconds(silent).count());
    }
    return expected;
}

void QuotaKeeper::chargeUnheard(PeerUse &hub, SteadyTime now)
{
    const Seconds silent = std::min<SteadyTime::duration>(now - hub.heard, PeerHeardWithin);
    const double share = refillShare(hub.heard);
    for (const auto &[customer, then] : hub.atReport) {
        const auto found = m_buckets.find(customer);
        if (found == m_buckets.end() || hub.charged.contains(customer))
            continue;
        Bucket &bucket = found->second;
        refill(bucket, now);
        // Not the use alone: a bucket that was filled to the brim meanwhile has lost some of it.
        const double used = hub.rates[customer].taken.at(TakenOver, hub.heard);
        const double grown = (bucket.rate * share - used) * silent.count();
        const double level =
            std::min(bucket.burst, then.level + grown) - (ownTaken(customer) - then.ownTaken);
        hub.charged[customer] = std::max(0.0, bucket.level - level);
        bucket.level -= hub.charged[customer];
    }
}

void QuotaKeeper::noteLevels(PeerUse &hub)
{
    for (auto &[customer, bucket] : m_buckets) {
        refill(bucket, hub.heard);
        hub.atReport[customer] = { bucket.level, ownTaken(customer) };
    }
}

double QuotaKeeper::ownTaken(const std::string &customer) const
{
    const auto found = m_ownUse.find(customer);
    return found == m_ownUse.end() ? 0 : found->second.taken;
}

void QuotaKeeper::chargeSilentHub(SteadyTime now)
{
    // The next hub tells what is used from its first report on. Without the charge, all instances
    // behind a partition would give out once more what the fleet used until they noticed it.
    const auto hub = m_peers.find(m_hub);
    if (hub != m_peers.end() && hub->second.who.speaksForAll
        && now - hub->second.heard > PeerHeardWithin)
        chargeUnheard(hub->second, now);
}

void QuotaKeeper::refundCharged(PeerUse &hub)
{
    for (const auto &[customer, units] : hub.charged)
        giveBack(customer, units);
    hub.charged.clear();
}

void QuotaKeeper::noteAsked(const std::string &customer, double units, SteadyTime now)
{
    m_ownUse[customer].asked += units;
    m_ownAsked[customer].add(units, AskedOver, now);
}

double QuotaKeeper::demand(const std::string &customer, double units, SteadyTime now) const
{
    double own = 0;
    if (const auto found = m_ownAsked.find(customer); found != m_ownAsked.end())
        own = found->second.at(AskedOver, now);
    double sum = own;
    for (const auto &[name, peer] : m_peers) {
        const auto rate = peer.rates.find(customer);
        if (rate == peer.rates.end() || now - peer.heard > PeerHeardWithin)
            continue;
        const SteadyTime known = std::min<SteadyTime>(now, peer.heard + ReportInterval);
        sum += rate->second.asked.at(AskedOver, known) + toldBy(peer, customer).unheardAsked;
    }
    if (!m_joinedAt || now - *m_joinedAt >= RatesKnownAfter)
        return sum;
    // What others are asked for is not known from their first report: as much as here, it seems.
    // Of those that have not been heard nothing counts, neither their share nor their demand.
    // This request does not count: where one comes every few seconds, each would look like a flood.
    const double heard = static_cast<double>(m_registered) * refillShare(now);
    const double before = own - units / Seconds(AskedOver).count();
    return std::max(sum, before * std::max(heard, 1.0));
}

double QuotaKeeper::admissionChance(const std::string &customer, const Bucket &bucket, double units,
                                    double free, SteadyTime now) const
{
    // A request larger than the whole burst runs once the bucket is full and leaves a debt.
    if (m_peers.empty() && !isJoining(now))
        return free >= std::min(units, bucket.burst) ? 1 : 0;
    if (free >= std::min(units + bucket.burst * PlentifulPart, bucket.burst))
        return 1;
    const double share = refillShare(now);
    const double mostDebt = bucket.burst * TinyDebt * share;
    if (units <= bucket.rate * Seconds(TinyRequest).count() && free > -mostDebt)
        return 1;
    const double supply = share * (bucket.rate + free / Seconds(LevelledWithin).count());
    return std::clamp(supply / std::max(demand(customer, units, now), 1.0), 0.0, 1.0);
}

std::chrono::milliseconds QuotaKeeper::pauseAfterRefusal(const Bucket &bucket, double units,
                                                         double free, double chance)
{
    const Seconds refilled(std::max(std::min(units, bucket.burst) - free, 0.0) / bucket.rate);
    // The less is served of what is asked for, the longer until another try is worth it.
    const Seconds eased =
        chance > 0 ? Seconds(LevelledWithin) * ((1 / chance - 1) / 2) : Seconds::zero();
    const Seconds pause =
        std::clamp<Seconds>(std::max(refilled, eased), ShortestPause, LongestPause);
    return std::chrono::duration_cast<milliseconds>(pause);
}

QuotaVerdict QuotaKeeper::take(const std::string &customer, double units, SteadyTime now)
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return {};
    Bucket &bucket = found->second;
    refill(bucket, now);
    chargeSilentHub(now);
    noteAsked(customer, units, now);
    const double free = bucket.level - expectedPeerTakes(customer, now);
    const double chance = admissionChance(customer, bucket, units, free, now);
    if (m_random.uniform() >= chance)
        return { false, pauseAfterRefusal(bucket, units, free, chance), free, bucket.rate };
    bucket.level -= units;
    m_ownUse[customer].taken += units;
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

void QuotaKeeper::followHub(const std::string &peer, SteadyTime now)
{
    if (peer == m_hub)
        return;
    // Both hubs speak for the same fleet. Kept beside the new one, the old hub would count as a
    // second fleet that has fallen silent: its takes would be reckoned with twice, and once it is
    // heard again, what the new hub has told since would be drained a second time.
    PeerUse before;
    const auto found = m_peers.find(m_hub);
    if (found != m_peers.end() && found->second.who.speaksForAll) {
        chargeUnheard(found->second, now);
        before = std::move(found->second);
        m_peers.erase(found);
    }
    m_hubBefore = before.who;
    m_hubBeforeHeard = before.heard;
    before.who = {};
    before.charged.clear();
    before.atReport.clear();
    m_peers[peer] = std::move(before);
    m_hub = peer;
}

void QuotaKeeper::peerUse(const std::string &peer, QuotaPeer who, const QuotaUse &use,
                          SteadyTime now)
{
    forgetStoppedPeers(now);
    if (who.speaksForAll)
        followHub(peer, now);
    PeerUse &known = m_peers[peer];
    const bool first = known.who.series != who.series;
    // Totals that go on tell what was charged.
    if (!first)
        refundCharged(known);
    if (first) {
        known.charged.clear();
        known.totals.clear();
        known.heard = now;
    }
    known.who = who;
    for (const auto &[customer, total] : use) {
        // What a peer took before it was first heard of was drained there, not here; it counts in
        // full only if it is recent, which a total can't tell, so nothing is drained for it.
        QuotaTotals &seen = known.totals[customer];
        const double taken = first ? 0 : std::max(0.0, total.taken - seen.taken);
        const double asked = first ? 0 : std::max(0.0, total.asked - seen.asked);
        seen = total;
        Rates &rates = known.rates[customer];
        rates.taken.add(taken, TakenOver, now);
        rates.asked.add(asked, AskedOver, now);
        const auto bucket = m_buckets.find(customer);
        if (bucket == m_buckets.end() || taken <= 0)
            continue;
        refill(bucket->second, now);
        bucket->second.level -= taken;
    }
    known.heard = now;
    if (who.speaksForAll)
        noteLevels(known);
}

} // namespace snipestall::serving
