#include "snipestall/serving/quota_keeper.hpp"

#include <algorithm>
#include <cmath>

namespace snipestall::serving {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/// Refused callers are not told to return earlier, because a shorter pause only causes more
/// refusals.
constexpr milliseconds MinPause { 100 };
/// Callers wait at most a third of their remaining time; a longer pause would only delay the final
/// refusal.
constexpr milliseconds MaxPause { 5000 };

} // namespace

void QuotaKeeper::joinFleet(SteadyTime now)
{
    m_joinedAt = now;
}

double QuotaKeeper::effectiveRate(const Customer &customer) const
{
    const double window = Seconds(m_tolerance.window).count();
    if (window <= 0)
        return customer.ratePerSecond;
    const double allowed = customer.ratePerSecond * window + customer.burst;
    // The fixed part of the tolerance is in tokens, so it applies only to quotas in tokens.
    const double units = customer.countsTokens ? m_tolerance.units : 0;
    const double tolerated = allowed * m_tolerance.overrun + units;
    return customer.ratePerSecond + ToleranceInRate * tolerated / window;
}

void QuotaKeeper::configure(const std::vector<Customer> &customers, SteadyTime now)
{
    std::map<std::string, Bucket> buckets;
    for (const Customer &customer : customers) {
        if (customer.ratePerSecond <= 0)
            continue;
        const double rate = effectiveRate(customer);
        const double burst = customer.burst;
        const bool inDebt = m_joinedAt && m_buckets.empty();
        Bucket bucket { rate, burst, inDebt ? -rate * Seconds(JoinDebt).count() : burst, now };
        const auto known = m_buckets.find(customer.name);
        if (known != m_buckets.end()) {
            refill(known->second, now);
            // A lowered quota applies immediately: the remaining level is limited to the new burst.
            bucket.level = std::min(known->second.level, burst);
        }
        buckets.emplace(customer.name, bucket);
    }
    m_buckets = std::move(buckets);
}

bool QuotaKeeper::isJoining(SteadyTime now) const
{
    return m_joinedAt && now - *m_joinedAt < JoinPeriod;
}

double QuotaKeeper::refillShare(SteadyTime now) const
{
    std::size_t reporting = 1;
    std::size_t known = 1;
    for (const auto &[name, peer] : m_peers) {
        const auto sinceReport = now - peer.lastReportAt;
        if (sinceReport > PeerExpiry)
            continue;
        known += peer.info.instances;
        if (sinceReport <= PeerTimeout)
            reporting += peer.info.reportingInstances;
    }
    // An instance that has just become a hub has not received the reports of all instances yet.
    // Instances that had reported to the previous hub recently count as having reported.
    if (now - m_previousHubReportAt <= PeerTimeout) {
        reporting = std::max<std::size_t>(reporting, 1 + m_previousHub.reportingInstances);
        known = std::max<std::size_t>(known, 1 + m_previousHub.instances);
    }
    // Members that change their hub are counted both at the old hub and at the new one, so the
    // numbers are limited by the number of registered instances. Instances that were added after
    // the list was read are not such members: they report to this instance themselves.
    if (m_registered > 0) {
        const std::size_t most = std::max(m_registered, m_peers.size() + 1);
        reporting = std::min(reporting, most);
        known = std::clamp(known, reporting, most);
    }
    if (isJoining(now)) {
        if (m_registered == 0)
            return 0;
        known = std::max(known, m_registered);
    }
    return static_cast<double>(reporting) / static_cast<double>(known);
}

void QuotaKeeper::refill(Bucket &bucket, SteadyTime now) const
{
    const double seconds = std::max(0.0, Seconds(now - bucket.filledAt).count());
    bucket.level = std::min(bucket.burst, bucket.level + seconds * bucket.rate * refillShare(now));
    bucket.filledAt = now;
}

QuotaTotals QuotaKeeper::reportedTotals(const PeerUse &peer, const std::string &customer)
{
    const auto found = peer.totals.find(customer);
    return found == peer.totals.end() ? QuotaTotals() : found->second;
}

double QuotaKeeper::estimatedPeerUse(const std::string &customer, SteadyTime now) const
{
    double expected = 0;
    for (const auto &[name, peer] : m_peers) {
        const auto rate = peer.rates.find(customer);
        if (rate == peer.rates.end())
            continue;
        if (peer.info.isHub && now - peer.lastReportAt > PeerTimeout)
            continue; // chargeOverdueHub() has subtracted its use.
        const auto sinceReport =
            std::min<SteadyTime::duration>(now - peer.lastReportAt, PeerTimeout);
        expected += reportedTotals(peer, customer).estimatedTaken;
        expected += rate->second.taken.at(UsePeriod, peer.lastReportAt)
            * std::max(0.0, Seconds(sinceReport).count());
    }
    return expected;
}

void QuotaKeeper::chargeEstimatedUse(PeerUse &hub, SteadyTime now)
{
    const Seconds sinceReport = std::min<SteadyTime::duration>(now - hub.lastReportAt, PeerTimeout);
    const double share = refillShare(hub.lastReportAt);
    for (const auto &[customer, atReport] : hub.levelsAtReport) {
        const auto found = m_buckets.find(customer);
        if (found == m_buckets.end() || hub.charged.contains(customer))
            continue;
        Bucket &bucket = found->second;
        refill(bucket, now);
        // The charge is not the use alone: a bucket that was full in the meantime has lost a part
        // of what was refilled.
        const double used = hub.rates[customer].taken.at(UsePeriod, hub.lastReportAt);
        const double grown = (bucket.rate * share - used) * sinceReport.count();
        const double level = std::min(bucket.burst, atReport.level + grown)
            - (ownTaken(customer) - atReport.ownTaken);
        hub.charged[customer] = std::max(0.0, bucket.level - level);
        bucket.level -= hub.charged[customer];
    }
}

void QuotaKeeper::recordLevels(PeerUse &hub)
{
    for (auto &[customer, bucket] : m_buckets) {
        refill(bucket, hub.lastReportAt);
        hub.levelsAtReport[customer] = { bucket.level, ownTaken(customer) };
    }
}

double QuotaKeeper::ownTaken(const std::string &customer) const
{
    const auto found = m_ownUse.find(customer);
    return found == m_ownUse.end() ? 0 : found->second.taken;
}

void QuotaKeeper::chargeOverdueHub(SteadyTime now)
{
    // The first report of the next hub only sets a base for what is used from then on. Without this
    // charge, all instances behind a partition would admit again what the others used until the
    // partition was noticed.
    const auto hub = m_peers.find(m_hub);
    if (hub != m_peers.end() && hub->second.info.isHub
        && now - hub->second.lastReportAt > PeerTimeout)
        chargeEstimatedUse(hub->second, now);
}

void QuotaKeeper::refundCharged(PeerUse &hub)
{
    for (const auto &[customer, units] : hub.charged)
        refund(customer, units);
    hub.charged.clear();
}

void QuotaKeeper::recordDemand(const std::string &customer, double units, SteadyTime now)
{
    m_ownUse[customer].asked += units;
    m_ownAsked[customer].add(units, DemandPeriod, now);
}

double QuotaKeeper::demand(const std::string &customer, double units, SteadyTime now) const
{
    double own = 0;
    if (const auto found = m_ownAsked.find(customer); found != m_ownAsked.end())
        own = found->second.at(DemandPeriod, now);
    double sum = own;
    for (const auto &[name, peer] : m_peers) {
        const auto rate = peer.rates.find(customer);
        if (rate == peer.rates.end() || now - peer.lastReportAt > PeerTimeout)
            continue;
        const SteadyTime known = std::min<SteadyTime>(now, peer.lastReportAt + ReportInterval);
        sum += rate->second.asked.at(DemandPeriod, known)
            + reportedTotals(peer, customer).estimatedAskedRate;
    }
    if (!m_joinedAt || now - *m_joinedAt >= RatesKnownAfter)
        return sum;
    // The demand at the other instances is not known from their first reports, so it is assumed to
    // be the same as here. Instances that have not reported count neither in the share nor in the
    // demand. The present request does not count: if one request arrives every few seconds, each
    // would look like a flood.
    const double reporting = static_cast<double>(m_registered) * refillShare(now);
    const double before = own - units / Seconds(DemandPeriod).count();
    return std::max(sum, before * std::max(reporting, 1.0));
}

double QuotaKeeper::admissionProbability(const std::string &customer, const Bucket &bucket,
                                         double units, double free, SteadyTime now) const
{
    // A request larger than the whole burst runs once the bucket is full, and leaves a debt.
    if (m_peers.empty() && !isJoining(now))
        return free >= std::min(units, bucket.burst) ? 1 : 0;
    if (free >= std::min(units + bucket.burst * UnrestrictedFraction, bucket.burst))
        return 1;
    const double share = refillShare(now);
    const double maxDebt = bucket.burst * MaxDebtForTiny * share;
    if (units <= bucket.rate * Seconds(TinyRequest).count() && free > -maxDebt)
        return 1;
    const double supply = share * (bucket.rate + free / Seconds(BalancingTime).count());
    return std::clamp(supply / std::max(demand(customer, units, now), 1.0), 0.0, 1.0);
}

std::chrono::milliseconds QuotaKeeper::pauseAfterRefusal(const Bucket &bucket, double units,
                                                         double free, double probability)
{
    const Seconds refilled(std::max(std::min(units, bucket.burst) - free, 0.0) / bucket.rate);
    // The smaller the part of the demand that is served, the longer the pause before another
    // attempt is worthwhile.
    const Seconds spread =
        probability > 0 ? Seconds(BalancingTime) * ((1 / probability - 1) / 2) : Seconds::zero();
    const Seconds pause = std::clamp<Seconds>(std::max(refilled, spread), MinPause, MaxPause);
    return std::chrono::duration_cast<milliseconds>(pause);
}

QuotaDecision QuotaKeeper::take(const std::string &customer, double units, SteadyTime now)
{
    recordDemand(customer, units, now);
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return {};
    Bucket &bucket = found->second;
    refill(bucket, now);
    chargeOverdueHub(now);
    const double free = bucket.level - estimatedPeerUse(customer, now);
    const double probability = admissionProbability(customer, bucket, units, free, now);
    if (m_random.uniform() >= probability)
        return { false, pauseAfterRefusal(bucket, units, free, probability), free, bucket.rate };
    bucket.level -= units;
    m_ownUse[customer].taken += units;
    return {};
}

void QuotaKeeper::refund(const std::string &customer, double units)
{
    const auto found = m_buckets.find(customer);
    if (found != m_buckets.end())
        found->second.level = std::min(found->second.burst, found->second.level + units);
    // The total that peers receive only grows: they have subtracted these units too, and refill
    // them over time.
}

void QuotaKeeper::forgetStoppedPeers(SteadyTime now)
{
    std::erase_if(
        m_peers, [now](const auto &entry) { return now - entry.second.lastReportAt > PeerExpiry; });
}

void QuotaKeeper::followHub(const std::string &peer, SteadyTime now)
{
    if (peer == m_hub)
        return;
    // Both hubs report for the same instances. If the old hub were kept beside the new one, it
    // would count as a second fleet whose reports are overdue: its use would be counted twice, and
    // when it reports again, what the new hub has reported since would be subtracted a second time.
    PeerUse before;
    const auto found = m_peers.find(m_hub);
    if (found != m_peers.end() && found->second.info.isHub) {
        chargeEstimatedUse(found->second, now);
        before = std::move(found->second);
        m_peers.erase(found);
    }
    m_previousHub = before.info;
    m_previousHubReportAt = before.lastReportAt;
    before.info = {};
    before.charged.clear();
    before.levelsAtReport.clear();
    m_peers[peer] = std::move(before);
    m_hub = peer;
}

void QuotaKeeper::updatePeerUse(const std::string &peer, QuotaPeer info, const QuotaUse &use,
                                SteadyTime now)
{
    forgetStoppedPeers(now);
    if (info.isHub)
        followHub(peer, now);
    PeerUse &known = m_peers[peer];
    const bool first = known.info.series != info.series;
    // Totals of the same series include what was charged as an estimate.
    if (!first)
        refundCharged(known);
    if (first) {
        known.charged.clear();
        known.totals.clear();
        known.lastReportAt = now;
    }
    known.info = info;
    for (const auto &[customer, total] : use) {
        // The use of a peer before its first report was subtracted on that peer and not here. It
        // would have to be subtracted here only if it is recent, which a total does not show, so
        // nothing is subtracted for it.
        QuotaTotals &seen = known.totals[customer];
        const double taken = first ? 0 : std::max(0.0, total.taken - seen.taken);
        const double asked = first ? 0 : std::max(0.0, total.asked - seen.asked);
        seen = total;
        Rates &rates = known.rates[customer];
        rates.taken.add(taken, UsePeriod, now);
        rates.asked.add(asked, DemandPeriod, now);
        const auto bucket = m_buckets.find(customer);
        if (bucket == m_buckets.end() || taken <= 0)
            continue;
        refill(bucket->second, now);
        bucket->second.level -= taken;
    }
    known.lastReportAt = now;
    if (info.isHub)
        recordLevels(known);
}

} // namespace snipestall::serving
