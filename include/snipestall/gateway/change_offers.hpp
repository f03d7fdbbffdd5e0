#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace snipestall::exchange::v1 {
class ChangesAnswer;
class ChangesRequest;
} // namespace snipestall::exchange::v1

namespace snipestall::gateway {

class TableCopy;

/// Encodes the changes of one table for other instances and hands them out in parts.
///
/// Load: a change of hundreds of kB, which tens of instances lack. Harm: if all were answered at
/// once, the link would be full for seconds, and the reports and the answers to callers would wait
/// behind the changes. So only a few instances fetch at a time, each one part after the other.
class ChangeOffers
{
public:
    /// The encoded changes from one version to another. `bytes` is null if they are not known.
    struct Offer
    {
        std::int64_t to = 0;
        std::shared_ptr<const std::string> bytes;
    };

    /// Returns the changes that lead from `from` to the current version of the copy.
    Offer offer(const TableCopy &copy, std::int64_t from, SteadyTime now);
    /// Answers the request of an instance for a part of the changes, except for the holders.
    [[nodiscard]] exchange::v1::ChangesAnswer answer(const exchange::v1::ChangesRequest &request,
                                                     const TableCopy &copy, SteadyTime now);

private:
    /// About 30 ms of a link of 10 Mbit/s.
    static constexpr std::size_t PartBytes = std::size_t { 32 } << 10;
    static constexpr std::size_t MaxTransfers = 3;
    /// A receiver that has not requested the next part within this time has stopped.
    static constexpr std::chrono::milliseconds TransferKeptFor { 400 };
    /// Encoded changes are kept until the slowest receiver has fetched the last part.
    static constexpr std::chrono::milliseconds EncodedKeptFor { 5000 };

    struct Key
    {
        std::int64_t from = 0;
        bool wholeRows = false;

        auto operator<=>(const Key &other) const = default;
    };
    struct Encoded
    {
        Offer offer;
        SteadyTime usedAt;
    };

    Offer &encoded(Key key, SteadyTime now);
    /// Returns whether the instance may fetch now; if so, it counts as fetching.
    bool admit(const std::string &instance, SteadyTime now);

    std::map<Key, Encoded> m_encoded;
    /// The time of the last request of each instance that is fetching.
    std::map<std::string, SteadyTime> m_transfers;
};

} // namespace snipestall::gateway
