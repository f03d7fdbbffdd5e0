#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/gateway/table_changes.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipestall::exchange::v1 {
class ChangesAnswer;
class ChangesRequest;
} // namespace snipestall::exchange::v1

namespace snipestall::gateway {

/// Fetches the changes of one table that are too large for reports, from one peer at a time and one
/// part after the other. So a receiver gets them as fast as its own link and that of the peer
/// allow, and a lost part costs no more than itself. A peer that is busy names others that have
/// the changes.
class ChangeFetch
{
public:
    struct Request
    {
        std::string peer;
        std::int64_t from = 0;
        std::int64_t to = 0;
        std::uint64_t offset = 0;
        bool wholeRows = false;
    };

    explicit ChangeFetch(std::uint64_t seed);

    /// A peer has reported that it has changes up to `version` to be fetched.
    void offered(const std::string &peer, std::int64_t version, SteadyTime now);
    /// Returns the request to be sent now to bring a copy of `version` up to date.
    std::optional<Request> next(std::int64_t version, SteadyTime now);
    /// Handles the answer to the last request. Returns the encoded changes if they are complete.
    std::optional<std::string> answered(const exchange::v1::ChangesAnswer &answer, SteadyTime now);
    /// The last request was not answered.
    void failed(SteadyTime now);
    /// The changes that were fetched last do not fit the values of this copy.
    void rejected() { m_wholeRows = true; }

private:
    /// Several intervals of reports. A peer that has not repeated its offer may be gone.
    static constexpr std::chrono::milliseconds OfferKeptFor { 1500 };
    /// Pause before a busy or silent peer is asked again. A random part of up to the same length is
    /// added, so that receivers do not ask together.
    static constexpr std::chrono::milliseconds RetryPause { 40 };

    struct Offer
    {
        std::int64_t version = 0;
        SteadyTime at;
        SteadyTime notBefore;
    };

    /// Returns the peer to be asked now; null if there is none.
    const std::string *choosePeer(std::int64_t version, SteadyTime now);
    void restart();
    void pause(SteadyTime now);

    Random m_random;
    std::map<std::string, Offer> m_offers;
    bool m_waiting = false;
    bool m_wholeRows = false;
    /// The transfer under way.
    std::string m_peer;
    std::int64_t m_from = 0;
    std::int64_t m_to = 0;
    std::string m_received;
};

} // namespace snipestall::gateway
