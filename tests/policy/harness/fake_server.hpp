#pragma once

#include "policy/harness/prefix_cache.hpp"
#include "policy/harness/server_model.hpp"
#include "policy/harness/work.hpp"

#include "snipestall/policy/event.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace snipestall::policy::harness {

class ServerListener;
class VirtualLoop;

/// A model engine or plain service under virtual time: continuous batching, a prefix cache, a FIFO
/// queue, and the faults that a scenario injects.
class FakeServer
{
public:
    FakeServer(ServerHandle handle, const ServerModel &model, VirtualLoop &loop,
               ServerListener &listener);

    /// Returns false when the server is full.
    bool start(Work work);
    void cancel(std::uint64_t work);
    /// Ends every attempt in progress.
    void endAllWork();

    void setSlowFactor(double factor) { m_slowFactor = factor; }
    void setFailsFast(bool failsFast) { m_failsFast = failsFast; }

    [[nodiscard]] bool isAlive() const { return m_alive; }
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t queued() const;
    [[nodiscard]] const ServerModel &model() const { return m_model; }
    /// Reserves a transfer of KV cache for that many tokens and returns when it is done. The
    /// exports and imports of a server run one after the other.
    Time reserveTransfer(std::uint32_t tokens);

private:
    struct Stream
    {
        Work work;
        double prefillLeft = 0;
        std::size_t cachedBlocks = 0;
        double decoded = 0;
        std::uint32_t emitted = 0;
    };

    void scheduleTick();
    void tick();
    void fillBatch();
    void prefill();
    void decode();
    /// Returns true when the stream is done.
    bool emit(Stream &stream);

    ServerHandle m_handle;
    ServerModel m_model;
    VirtualLoop &m_loop;
    ServerListener &m_listener;
    PrefixCache m_cache;
    std::vector<Stream> m_batch;
    std::deque<Work> m_queue;
    double m_slowFactor = 1;
    bool m_failsFast = false;
    bool m_alive = true;
    bool m_ticking = false;
    Time m_transferFreeAt {};
};

} // namespace snipestall::policy::harness
