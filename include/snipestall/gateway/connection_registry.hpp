#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/connection_ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace snipestall::gateway {

class CallerConnection;
enum class Shortage;

/// The connections of callers and of other instances, and the bytes that they hold. Carries out
/// what the ledger decides.
class ConnectionRegistry
{
public:
    using Id = serving::ConnectionLedger::Id;

    /// `bytes`: what all connections may hold together.
    explicit ConnectionRegistry(std::size_t bytes);

    Id add(CallerConnection &connection);
    void remove(Id id);
    void enter(Id id, serving::ConnectionStage stage);
    void setLargestBody(std::size_t bytes) { m_ledger.setLargestBody(bytes); }
    /// Books what the connection holds from now on, and gives up others if there is no room.
    /// Returns false if there is none even so.
    bool hold(Id id, std::size_t bytes);
    void arrived(Id id, std::size_t bytes);
    /// A place among the few requests that wait for memory. It becomes false when a later one takes
    /// it: the request is to be refused then.
    [[nodiscard]] std::shared_ptr<bool> beginWaiting();
    /// Books as hold() does if it is the turn of the request that waits at this place, or its body
    /// is of ordinary size.
    bool holdInTurn(const std::shared_ptr<bool> &place, Id id, std::size_t bytes);
    /// Whether a body of this size need not wait behind others.
    [[nodiscard]] bool mayHoldNow(std::size_t bytes) const
    {
        return m_waiting.empty() || bytes <= serving::ConnectionLedger::OrdinaryBytes;
    }
    void endWaiting(const std::shared_ptr<bool> &place) { std::erase(m_waiting, place); }
    /// Gives up connections so that others can be accepted.
    void giveUpForOthers();
    /// Closes connections whose clients send ahead of a running request or an answer, those with
    /// the most unread bytes first, while all of these bytes exceed a part of the memory. The
    /// caller polls this.
    void limitUnread();
    void release(Id id) { m_ledger.release(id); }

    [[nodiscard]] std::size_t size() const { return m_ledger.connections(); }
    [[nodiscard]] std::size_t held() const { return m_ledger.held(); }
    [[nodiscard]] std::size_t limit() const { return m_ledger.limit(); }
    /// Connections since the start whose request or answer was given up for others.
    [[nodiscard]] std::uint64_t givenUp() const { return m_givenUp; }

private:
    /// Closes connections that hold something and whose clients have left, which the loop may come
    /// to only later.
    void closeLeft();
    void makeRoom(Id id, std::size_t bytes);
    void giveUp(const std::vector<Id> &ids, Shortage shortage);

    serving::ConnectionLedger m_ledger;
    std::unordered_map<Id, CallerConnection *> m_connections;
    std::uint64_t m_givenUp = 0;
    SteadyTime m_madeRoomAt;
    std::deque<std::shared_ptr<bool>> m_waiting;
};

} // namespace snipestall::gateway
