#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/peer/steward.hpp"
#include "snipestall/platform/transaction.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::peer {

/// The value of a steward's row.
struct StewardRow
{
    std::string holder;
    std::uint64_t incarnation = 0;
    /// The fencing token.
    std::uint64_t fencingToken = 0;
    std::chrono::milliseconds term { 0 };
    /// Identifies one write, so that a holder recognizes a row that it has written itself.
    std::string token;
    /// The holder released the lease before its end.
    bool released = false;
};

std::string encodeSteward(const StewardRow &row);
/// Internal if the row is damaged.
Result<StewardRow> decodeSteward(const platform::Row &row);

/// The rules of the lease, without I/O. In each round the caller reads the row and passes it to
/// observe(), sends the transaction of nextWrite(), if there is one, and passes its outcome to
/// writeCompleted().
///
/// Clocks of two instances are never compared. A holder counts from before it sent the write that
/// the table accepted, so its lease ends no later than the time of that write plus the term. A
/// candidate counts from after it first read that write, so its lease begins no earlier than that.
class StewardLease
{
public:
    StewardLease(std::string dataCentre, std::string instance, std::uint64_t incarnation,
                 StewardOptions options, std::string tokenPrefix);

    [[nodiscard]] const platform::RowKey &rowKey() const { return m_rowKey; }

    /// Applies the row as read; `row` is null if there is none.
    void observe(const platform::Row *row, SteadyTime now);
    /// The write that takes or renews the lease, or no value if another instance may hold it or the
    /// row is damaged.
    std::optional<platform::Transaction> nextWrite(SteadyTime now);
    void writeCompleted(const Result<platform::TransactionOutcome> &outcome);
    /// Ends the lease on this instance at once. Returns the write that makes the release visible to
    /// the other instances, if the lease was held.
    std::optional<platform::Transaction> release();

    [[nodiscard]] bool held(SteadyTime now) const;
    /// The fencing token if an order may be sent at `now`, otherwise no value.
    [[nodiscard]] std::optional<std::uint64_t> mayOrder(SteadyTime now) const;
    [[nodiscard]] std::uint64_t fencingToken() const { return m_fencingToken; }

private:
    /// A write whose outcome is not known yet.
    struct PendingWrite
    {
        StewardRow row;
        SteadyTime at;
    };

    [[nodiscard]] bool mayTake(SteadyTime now) const;
    platform::Transaction send(StewardRow row, SteadyTime now);
    void adopt(const PendingWrite &sent);

    platform::RowKey m_rowKey;
    std::string m_instance;
    std::uint64_t m_incarnation;
    StewardOptions m_options;
    std::string m_tokenPrefix;
    std::uint64_t m_tokens = 0;

    // The row as last read, and the time since which it has been read unchanged.
    bool m_readable = false;
    std::uint64_t m_rowVersion = 0;
    StewardRow m_row;
    SteadyTime m_unchangedSince;

    std::optional<PendingWrite> m_pendingWrite;
    // The lease, if the table has accepted a write of this instance.
    bool m_isHolder = false;
    std::uint64_t m_fencingToken = 0;
    std::string m_token;
    SteadyTime m_leaseStart;
    SteadyTime m_ordersStart;
};

} // namespace snipestall::peer
