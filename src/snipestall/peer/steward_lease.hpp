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
    std::uint64_t fencing = 0;
    std::chrono::milliseconds term { 0 };
    /// Names one write, so that a holder knows the row that it wrote itself.
    std::string token;
    /// Given back before its end.
    bool released = false;
};

std::string encodeSteward(const StewardRow &row);
/// Internal if the row is damaged.
Result<StewardRow> decodeSteward(const platform::Row &row);

/// The rules of the lease, without I/O: each round the row is read and shown to observe(), then
/// nextWrite() says what to write, if anything, and written() what came of it.
///
/// No two clocks are compared. A holder counts from before it sent the write that the table took,
/// so its lease ends no later than the row's write plus the term. A candidate counts from after it
/// first read that write, so it begins no earlier than that.
class StewardLease
{
public:
    StewardLease(std::string dataCentre, std::string instance, std::uint64_t incarnation,
                 StewardOptions options, std::string tokenPrefix);

    [[nodiscard]] const platform::RowKey &rowKey() const { return m_rowKey; }

    /// `row` is null if there is none.
    void observe(const platform::Row *row, SteadyTime now);
    std::optional<platform::Transaction> nextWrite(SteadyTime now);
    void written(const Result<platform::TransactionOutcome> &outcome);
    /// Ends the lease here at once; the write that tells the others, if it was held.
    std::optional<platform::Transaction> release();

    [[nodiscard]] bool held(SteadyTime now) const;
    [[nodiscard]] std::optional<std::uint64_t> mayOrder(SteadyTime now) const;
    [[nodiscard]] std::uint64_t fencing() const { return m_fencing; }

private:
    /// A write whose fate is not settled yet.
    struct Sent
    {
        StewardRow row;
        SteadyTime at;
    };

    [[nodiscard]] bool mayTake(SteadyTime now) const;
    platform::Transaction send(StewardRow row, SteadyTime now);
    void adopt(const Sent &sent);

    platform::RowKey m_rowKey;
    std::string m_instance;
    std::uint64_t m_incarnation;
    StewardOptions m_options;
    std::string m_tokenPrefix;
    std::uint64_t m_tokens = 0;

    // The row as last read, and since when it has been seen unchanged.
    bool m_readable = false;
    std::uint64_t m_rowVersion = 0;
    StewardRow m_row;
    SteadyTime m_unchangedSince;

    std::optional<Sent> m_sent;
    // The lease, if the table has taken a write of ours.
    bool m_mine = false;
    std::uint64_t m_fencing = 0;
    std::string m_token;
    SteadyTime m_leaseFrom;
    SteadyTime m_ordersFrom;
};

} // namespace snipestall::peer
