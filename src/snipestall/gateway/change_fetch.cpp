#include "snipestall/gateway/change_fetch.hpp"

#include "exchange.pb.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace snipestall::gateway {

namespace v1 = exchange::v1;

ChangeFetch::ChangeFetch(std::uint64_t seed)
    : m_random(seed)
{ }

void ChangeFetch::offered(const std::string &peer, std::int64_t version, SteadyTime now)
{
    Offer &offer = m_offers[peer];
    offer.version = std::max(offer.version, version);
    offer.at = now;
}

const std::string *ChangeFetch::choosePeer(std::int64_t version, SteadyTime now)
{
    std::erase_if(m_offers, [version, now](const auto &entry) {
        return entry.second.version <= version || now - entry.second.at > OfferKeptFor;
    });
    std::vector<const std::string *> ready;
    for (const auto &[name, offer] : m_offers) {
        if (now < offer.notBefore)
            continue;
        // A transfer that has begun goes on with the same peer, whose bytes it continues.
        if (!m_received.empty() && name == m_peer)
            return &name;
        ready.push_back(&name);
    }
    return ready.empty() ? nullptr : ready[m_random.below(ready.size())];
}

std::optional<ChangeFetch::Request> ChangeFetch::next(std::int64_t version, SteadyTime now)
{
    if (m_waiting || m_offers.empty())
        return std::nullopt;
    // The copy has advanced in another way.
    if (version != m_from)
        restart();
    const std::string *peer = choosePeer(version, now);
    if (peer == nullptr)
        return std::nullopt;
    if (*peer != m_peer)
        restart();
    m_waiting = true;
    m_peer = *peer;
    m_from = version;
    return Request { m_peer, m_from, m_to, m_received.size(), m_wholeRows };
}

void ChangeFetch::restart()
{
    m_received.clear();
    m_to = 0;
}

void ChangeFetch::pause(SteadyTime now)
{
    const auto extra =
        static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(RetryPause.count())));
    m_offers[m_peer].notBefore = now + RetryPause + std::chrono::milliseconds(extra);
}

std::optional<std::string> ChangeFetch::answered(const v1::ChangesAnswer &answer, SteadyTime now)
{
    m_waiting = false;
    if (answer.status() == v1::ChangesAnswer::BUSY) {
        pause(now);
        for (const std::string &holder : answer.holders())
            offered(holder, answer.to(), now);
        return std::nullopt;
    }
    if (answer.status() != v1::ChangesAnswer::PART) {
        restart();
        m_offers.erase(m_peer);
        return std::nullopt;
    }
    if (answer.to() != m_to)
        restart();
    m_to = answer.to();
    m_received += answer.part();
    if (m_received.size() < answer.size())
        return std::nullopt;
    m_wholeRows = false;
    m_to = 0;
    return std::exchange(m_received, {});
}

void ChangeFetch::failed(SteadyTime now)
{
    m_waiting = false;
    pause(now);
}

} // namespace snipestall::gateway
