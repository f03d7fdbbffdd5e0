#pragma once

#include "snipestall/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace snipestall::serving {

/// What a connection of a caller does.
enum class ConnectionStage {
    /// It waits for the first byte of a request.
    Idle,
    /// A request arrives.
    Arriving,
    /// A whole request waits, or runs at a server.
    Running,
    /// An answer is being written.
    Answering,
    /// The last answer has been written, and the peer has not closed yet.
    Closing,
};

const char *toString(ConnectionStage stage);

/// Knows what each connection of the callers does and how many bytes it holds, and decides who may
/// hold more and which connections are closed when memory or descriptors run out.
///
/// Load: many clients that each stay inside the limits of one request, and that together send more
/// than the machine holds: most of them requests that never become whole. Harm: the kernel ends a
/// process that exceeds the memory of its machine, with all of its requests; and if newcomers were
/// refused instead, unfinished requests would keep all others out until an idle limit, again and
/// again. So a request that brings nothing makes room for those that do, and a part of the memory
/// is kept for bodies of ordinary size. A request that runs is never given up.
class ConnectionLedger
{
public:
    using Id = std::uint64_t;

    /// Bodies up to this size may use all of the memory, larger ones a part of it.
    static constexpr std::size_t OrdinaryBytes = std::size_t(128) * 1024;

    /// `bytes`: what all connections may hold together.
    explicit ConnectionLedger(std::size_t bytes);

    Id open(SteadyTime now);
    void close(Id id);
    void enter(Id id, ConnectionStage stage, SteadyTime now);

    /// The limit on the size of one body: two of this size fit in any case.
    void setLargestBody(std::size_t bytes) { m_largestBody = bytes; }
    /// Books that the connection holds `bytes` from now on. Returns false, and books nothing, if
    /// there is no room for that.
    bool hold(Id id, std::size_t bytes);
    /// So many bytes of the request have arrived so far.
    void arrived(Id id, std::size_t bytes, SteadyTime now);
    /// The connection holds nothing any more.
    void release(Id id);

    /// Connections to be closed so that this one can hold `bytes`; none if that gives no room.
    /// What they hold counts as released.
    std::vector<Id> closeForMemory(Id id, std::size_t bytes, SteadyTime now);
    /// Connections to be closed so that others can be accepted.
    [[nodiscard]] std::vector<Id> closeForConnections(SteadyTime now) const;

    /// Connections that hold something and carry no request that runs.
    [[nodiscard]] std::vector<Id> unfinishedHolders() const;

    [[nodiscard]] std::size_t connections() const { return m_entries.size(); }
    [[nodiscard]] std::size_t held() const { return m_held; }
    /// What all connections may hold together.
    [[nodiscard]] std::size_t limit() const;
    [[nodiscard]] ConnectionStage stage(Id id) const { return m_entries.at(id).stage; }
    /// Time since the connection last made progress.
    [[nodiscard]] SteadyTime::duration stalledFor(Id id, SteadyTime now) const
    {
        return now - m_entries.at(id).progressAt;
    }

private:
    struct Entry
    {
        ConnectionStage stage = ConnectionStage::Idle;
        std::size_t held = 0;
        /// Time of the last progress, and what had arrived then.
        SteadyTime progressAt;
        std::size_t arrivedAtProgress = 0;
    };
    struct Candidate
    {
        Id id = 0;
        SteadyTime::duration stalled {};
        std::size_t held = 0;
    };

    [[nodiscard]] bool hasRoom(const Entry &entry, std::size_t bytes, std::size_t freed) const;
    /// Connections in a stage that may be given up and without progress for longer than that stage
    /// allows, those that have stalled for longest first.
    template<typename Condition>
    [[nodiscard]] std::vector<Candidate> stalled(SteadyTime now, Condition counts) const;

    std::size_t m_bytes;
    std::size_t m_largestBody = 0;
    std::size_t m_held = 0;
    Id m_next = 0;
    std::unordered_map<Id, Entry> m_entries;
};

} // namespace snipestall::serving
