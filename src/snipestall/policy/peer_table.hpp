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

/// What peers said that they can take, discounted by age and by what was sent since.
///
/// Failure: a summary is up to a second old and every instance reads the same one, so all forward
/// to the peer that was idle a moment ago; it shows as that peer's queue rising in bursts while
/// others idle. The estimate falls with each forward and with the summary's age, so that one
/// summary is spent only once by each sender.
class PeerTable
{
public:
    struct Choice
    {
        PeerHandle peer;
        /// Expected wait there; zero when a slot is likely free.
        Duration wait {};
    };

    void update(Time now, const PeerSummary &summary);
    void erase(PeerHandle peer);

    /// The peer where a request for `service` would start first, if any takes work.
    [[nodiscard]] std::optional<Choice> best(Time now, std::string_view service, Lane lane) const;

    /// A peer with a free slot that has the prefix in a cache.
    [[nodiscard]] std::optional<PeerHandle> holder(Time now, std::string_view service, Lane lane,
                                                   std::uint32_t prefixKey) const;

    void countForward(PeerHandle peer, std::string_view service, Duration requestService);

    /// The peer declined: it gets nothing more for `service` before its next summary.
    void countDecline(PeerHandle peer, std::string_view service);

    /// Live peers of a data centre.
    [[nodiscard]] std::uint32_t countIn(std::string_view dataCentre) const;

    /// Summaries of a service that are still believed.
    [[nodiscard]] std::vector<const PoolSummary *> fresh(Time now, std::string_view service) const;

private:
    struct Offer
    {
        Time heardAt;
        PoolSummary summary;
        /// Spent since the summary.
        std::uint32_t sent = 0;
        Duration sentService {};
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
