#pragma once

#include "snipestall/platform/table_service.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace snipestall::platform {

/// In-memory table service for tests, which simulates faults of the platform's table on command.
class FakeTableService final : public TableService
{
public:
    explicit FakeTableService(boost::asio::io_context &io)
        : m_resumed(io, boost::asio::steady_timer::time_point::max())
    { }

    /// While set, calls fail with Unavailable and have no effect.
    bool down = false;
    /// Number of following transactions that take effect, but whose answers are lost.
    int answersToLose = 0;
    /// Number of following transactions that are lost before they take effect; their callers can't
    /// tell that they had no effect.
    int requestsToLose = 0;
    /// Called at the start of each transaction and read, so that a test can act at that moment.
    std::function<void()> beforeCall;
    /// Called after a transaction has taken effect and before its answer is returned.
    std::function<void()> beforeAnswer;
    /// Number of following transactions that are delivered late, as by a slow network: they fail
    /// with DeadlineExceeded and take effect in applyHeldRequests().
    int requestsToHold = 0;

    int transactions = 0;
    int reads = 0;
    std::map<RowKey, Row> rows;

    /// Withholds the answers of transactions, which still take effect, and of reads, until
    /// resumeAnswers() is called.
    void pauseAnswers() { m_isPaused = true; }
    void resumeAnswers()
    {
        m_isPaused = false;
        m_resumed.cancel();
    }

    /// Applies the transactions held back by requestsToHold, after their callers have given up
    /// waiting for the answers.
    void applyHeldRequests()
    {
        for (const Transaction &held : std::exchange(m_heldTransactions, {}))
            apply(held);
    }

    wire::Task<Result<TransactionOutcome>> transact(Transaction transaction) override
    {
        ++transactions;
        if (beforeCall)
            beforeCall();
        if (down)
            co_return fail(ErrorKind::Unavailable, "down; wait");
        if (requestsToHold > 0) {
            --requestsToHold;
            m_heldTransactions.push_back(std::move(transaction));
            co_return fail(ErrorKind::DeadlineExceeded, "slow; read back");
        }
        if (requestsToLose > 0) {
            --requestsToLose;
            co_return fail(ErrorKind::OutcomeUnknown, "lost; read back");
        }
        TransactionOutcome outcome = apply(transaction);
        if (beforeAnswer)
            beforeAnswer();
        co_await waitUntilResumed();
        if (answersToLose > 0) {
            --answersToLose;
            co_return fail(ErrorKind::OutcomeUnknown, "answer lost; read back");
        }
        co_return outcome;
    }

    wire::Task<Result<std::vector<Row>>> read(std::vector<RowKey> keys) override
    {
        ++reads;
        if (beforeCall)
            beforeCall();
        if (down)
            co_return fail(ErrorKind::Unavailable, "down; wait");
        co_await waitUntilResumed();
        std::vector<Row> found;
        for (const RowKey &key : keys) {
            const auto row = rows.find(key);
            if (row != rows.end())
                found.push_back(row->second);
        }
        co_return found;
    }

    wire::Task<Result<std::vector<Row>>> scan(std::string table, std::string prefix,
                                              std::string after, std::size_t limit) override
    {
        if (down)
            co_return fail(ErrorKind::Unavailable, "down; wait");
        std::vector<Row> found;
        for (const auto &[key, row] : rows) {
            const bool wanted =
                key.table == table && key.key.starts_with(prefix) && key.key > after;
            if (wanted && found.size() < limit)
                found.push_back(row);
        }
        co_return found;
    }

    /// Applies a transaction at once, without simulated faults.
    TransactionOutcome apply(const Transaction &transaction)
    {
        TransactionOutcome outcome;
        for (const Condition &condition : transaction.conditions) {
            const auto row = rows.find(condition.key);
            const Row current = row == rows.end() ? Row { condition.key, {}, 0 } : row->second;
            if (current.version != condition.version)
                outcome.conflicts.push_back(current);
        }
        outcome.committed = outcome.conflicts.empty();
        if (!outcome.committed)
            return outcome;
        for (const Write &write : transaction.writes) {
            if (write.value)
                rows[write.key] = { write.key, *write.value, ++m_lastVersion };
            else
                rows.erase(write.key);
        }
        return outcome;
    }

    /// Number of rows in a table.
    [[nodiscard]] std::size_t rowCount(const std::string &table) const
    {
        std::size_t count = 0;
        for (const auto &[key, row] : rows)
            count += key.table == table ? 1 : 0;
        return count;
    }

private:
    wire::Task<void> waitUntilResumed()
    {
        while (m_isPaused)
            co_await m_resumed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    bool m_isPaused = false;
    std::uint64_t m_lastVersion = 0;
    std::vector<Transaction> m_heldTransactions;
    boost::asio::steady_timer m_resumed;
};

} // namespace snipestall::platform
