#include "snipestall/policy/peer_table.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace snipestall::policy {
namespace {

/// Summaries arrive every second; after three missed ones the last one is ignored.
constexpr Duration SummaryLifetime = std::chrono::seconds(3);

/// Share of the free slots in a fresh summary that may be used; the rest is left to requests that
/// arrive at the owner itself, which uses those slots without a hop.
constexpr double TrustedShare = 0.8;

/// A reported wait grows by a quarter of its age, because many senders read it within a second.
constexpr int AgeDivisor = 4;

Duration reportedWait(const PoolSummary &summary, Lane lane)
{
    switch (lane) {
    case Lane::Urgent:
        return summary.urgentWait.value_or(summary.wait);
    case Lane::Patient:
        return summary.patientWait.value_or(summary.wait);
    case Lane::Normal:
        break;
    }
    return summary.wait;
}

double freshness(Duration age)
{
    const auto lifetime = static_cast<double>(SummaryLifetime.count());
    return std::max(0.0, 1.0 - static_cast<double>(age.count()) / lifetime);
}

} // namespace

void PeerTable::update(Time now, const PeerSummary &summary)
{
    erase(summary.peer);
    m_dataCentres[summary.peer] = summary.dataCentre;
    for (const PoolSummary &pool : summary.pools) {
        Offer offer;
        offer.receivedAt = now;
        offer.summary = pool;
        std::sort(offer.summary.prefixSketch.begin(), offer.summary.prefixSketch.end());
        m_offers[pool.service].insert_or_assign(summary.peer, offer);
    }
}

void PeerTable::erase(PeerHandle peer)
{
    m_dataCentres.erase(peer);
    for (auto &[service, offers] : m_offers)
        offers.erase(peer);
}

std::optional<PeerTable::Choice> PeerTable::best(Time now, std::string_view service,
                                                 Lane lane) const
{
    const auto it = m_offers.find(service);
    if (it == m_offers.end())
        return std::nullopt;
    std::optional<Choice> choice;
    for (const auto &[peer, offer] : it->second) {
        const std::optional<Duration> wait = expectedWait(offer, now, lane);
        if (wait && (!choice || *wait < choice->wait))
            choice = Choice { peer, *wait };
    }
    return choice;
}

std::optional<PeerHandle> PeerTable::peerWithPrefix(Time now, std::string_view service, Lane lane,
                                                    std::uint32_t prefixKey) const
{
    const auto it = m_offers.find(service);
    if (it == m_offers.end())
        return std::nullopt;
    for (const auto &[peer, offer] : it->second) {
        const std::vector<std::uint32_t> &sketch = offer.summary.prefixSketch;
        const bool holds = std::binary_search(sketch.begin(), sketch.end(), prefixKey);
        if (holds && expectedWait(offer, now, lane) == Duration::zero())
            return peer;
    }
    return std::nullopt;
}

std::optional<Duration> PeerTable::expectedWait(const Offer &offer, Time now, Lane lane)
{
    const Duration age = now - offer.receivedAt;
    const PoolSummary &summary = offer.summary;
    if (offer.declined || summary.servers == 0 || age >= SummaryLifetime)
        return std::nullopt;
    const bool urgent = lane == Lane::Urgent;
    const std::uint32_t freeSlots =
        urgent ? std::max(summary.urgentFreeSlots, summary.freeSlots) : summary.freeSlots;
    const double trusted = TrustedShare * freshness(age) * freeSlots;
    if (trusted - offer.sent >= 1)
        return Duration::zero();
    const Duration reported = reportedWait(summary, lane);
    const Duration queuedSince = offer.sentSlotTime / std::max(1U, summary.servers);
    return std::max(reported, Duration(1)) + age / AgeDivisor + queuedSince;
}

std::vector<const PoolSummary *> PeerTable::freshSummaries(Time now, std::string_view service) const
{
    std::vector<const PoolSummary *> summaries;
    const auto it = m_offers.find(service);
    if (it == m_offers.end())
        return summaries;
    summaries.reserve(it->second.size());
    for (const auto &[peer, offer] : it->second) {
        if (now - offer.receivedAt < SummaryLifetime)
            summaries.push_back(&offer.summary);
    }
    return summaries;
}

void PeerTable::recordForward(PeerHandle peer, std::string_view service, Duration slotTime)
{
    Offer *offer = find(peer, service);
    if (!offer)
        return;
    ++offer->sent;
    offer->sentSlotTime += slotTime;
}

void PeerTable::recordDecline(PeerHandle peer, std::string_view service)
{
    if (Offer *offer = find(peer, service))
        offer->declined = true;
}

std::uint32_t PeerTable::peersIn(std::string_view dataCentre) const
{
    const auto isThere = [&](const auto &peer) { return peer.second == dataCentre; };
    const auto count = std::count_if(m_dataCentres.begin(), m_dataCentres.end(), isThere);
    return static_cast<std::uint32_t>(count);
}

PeerTable::Offer *PeerTable::find(PeerHandle peer, std::string_view service)
{
    const auto offers = m_offers.find(service);
    if (offers == m_offers.end())
        return nullptr;
    const auto offer = offers->second.find(peer);
    return offer == offers->second.end() ? nullptr : &offer->second;
}

} // namespace snipestall::policy
