#pragma once

#include "snipestall/policy/event.hpp"
#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/queue_lane.hpp"
#include "snipestall/policy/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::policy {

/// Capacity that peers reported, discounted by its age and by the requests sent since.
///
/// Guards against this failure: a summary is up to a second old and every instance reads the same
/// one, so all of them forward to the peer that was idle a moment ago. That peer's queue then rises
/// in bursts while other peers idle. The estimate falls with each forward and with the summary's
/// age, so that each sender uses the capacity of a summary only once.
class PeerTable
{
public:
    struct Choice
    {
        PeerHandle peer;
        /// Expected wait at the peer; zero when a slot is likely free.
        Duration wait {};
    };

    void update(Time now, const PeerSummary &summary);
    void erase(PeerHandle peer);

    /// The peer at which a request for `service` would start first; no value when no peer takes
    /// work.
    [[nodiscard]] std::optional<Choice> best(Time now, std::string_view service, Lane lane) const;

    /// A peer with a free slot that has the prefix in a cache.
    [[nodiscard]] std::optional<PeerHandle>
    peerWithPrefix(Time now, std::string_view service, Lane lane, std::uint32_t prefixKey) const;

    void recordForward(PeerHandle peer, std::string_view service, Duration slotTime);

    /// Records that the peer declined a request: it gets nothing more for `service` before its next
    /// summary.
    void recordDecline(PeerHandle peer, std::string_view service);

    /// Number of live peers in a data centre.
    [[nodiscard]] std::uint32_t peersIn(std::string_view dataCentre) const;

    /// Summaries of a service that are recent enough to be used.
    [[nodiscard]] std::vector<const PoolSummary *> freshSummaries(Time now,
                                                                  std::string_view service) const;

private:
    struct Offer
    {
        Time receivedAt;
        PoolSummary summary;
        /// Number of requests sent since the summary.
        std::uint32_t sent = 0;
        Duration sentSlotTime {};
        bool declined = false;
    };

    using Offers = std::map<PeerHandle, Offer>;

    [[nodiscard]] static std::optional<Duration> expectedWait(const Offer &offer, Time now,
                                                              Lane lane);
    [[nodiscard]] Offer *find(PeerHandle peer, std::string_view service);

    std::map<std::string, Offers, std::less<>> m_offers;
    std::map<PeerHandle, std::string> m_dataCentres;
};

} // namespace snipestall::policy
