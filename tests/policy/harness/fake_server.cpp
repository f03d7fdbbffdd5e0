#include "policy/harness/fake_server.hpp"

#include "policy/harness/server_listener.hpp"
#include "policy/harness/virtual_loop.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy::harness {

namespace {

using namespace std::chrono_literals;

constexpr Duration EngineStep = 10ms;
constexpr Duration FailFastDelay = 2ms;
/// Tokens reported in one event after the first event; this only reduces the number of events.
constexpr std::uint32_t TokensPerEvent = 8;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

FakeServer::FakeServer(ServerHandle handle, const ServerModel &model, VirtualLoop &loop,
                       ServerListener &listener)
    : m_handle(handle)
    , m_model(model)
    , m_loop(loop)
    , m_listener(listener)
    , m_cache(model.cacheBlocks)
{ }

bool FakeServer::start(Work work)
{
    if (m_failsFast) {
        m_loop.after(FailFastDelay, [this, id = work.id] {
            m_listener.onEnded(id, AttemptResult::ConnectionLost);
        });
        return true;
    }
    if (m_batch.size() + m_queue.size() >= m_model.maxBatch + m_model.queueLimit) {
        return false;
    }
    m_queue.push_back(std::move(work));
    scheduleTick();
    return true;
}

void FakeServer::cancel(std::uint64_t work)
{
    std::erase_if(m_batch, [work](const Stream &stream) { return stream.work.id == work; });
    std::erase_if(m_queue, [work](const Work &queued) { return queued.id == work; });
}

void FakeServer::endAllWork()
{
    m_alive = false;
    const auto batch = std::exchange(m_batch, {});
    const auto queue = std::exchange(m_queue, {});
    for (const auto &stream : batch) {
        m_listener.onEnded(stream.work.id, AttemptResult::ServerDied);
    }
    for (const auto &work : queue) {
        m_listener.onEnded(work.id, AttemptResult::ServerDied);
    }
}

std::uint32_t FakeServer::running() const
{
    return static_cast<std::uint32_t>(m_batch.size());
}

std::uint32_t FakeServer::queued() const
{
    return static_cast<std::uint32_t>(m_queue.size());
}

Time FakeServer::reserveTransfer(std::uint32_t tokens)
{
    const auto length = std::chrono::duration<double>(tokens / m_model.kvTokensPerSecond);
    m_transferFreeAt = std::max(m_transferFreeAt, m_loop.now())
        + std::chrono::duration_cast<Duration>(length * m_slowFactor);
    return m_transferFreeAt;
}

void FakeServer::scheduleTick()
{
    if (m_ticking) {
        return;
    }
    m_ticking = true;
    m_loop.after(EngineStep, [this] { tick(); });
}

void FakeServer::tick()
{
    m_ticking = false;
    if (!m_alive) {
        return;
    }
    fillBatch();
    prefill();
    if (m_alive) {
        decode();
    }
    if (m_alive && !(m_batch.empty() && m_queue.empty())) {
        scheduleTick();
    }
}

void FakeServer::fillBatch()
{
    while (m_batch.size() < m_model.maxBatch && !m_queue.empty()) {
        Stream stream { .work = std::move(m_queue.front()) };
        m_queue.pop_front();
        if (!stream.work.kvImported) {
            stream.cachedBlocks = m_cache.match(stream.work.prefix);
            const double cached = static_cast<double>(stream.cachedBlocks) * BlockTokens;
            stream.prefillLeft = std::max(1.0, stream.work.prefillTokens - cached);
        }
        m_batch.push_back(std::move(stream));
    }
}

void FakeServer::prefill()
{
    const auto waiting =
        std::ranges::count_if(m_batch, [](const Stream &stream) { return stream.prefillLeft > 0; });
    if (waiting == 0) {
        return;
    }
    const double share = m_model.prefillTokensPerSecond * seconds(EngineStep)
        / (m_slowFactor * static_cast<double>(waiting));
    for (auto &stream : m_batch) {
        if (stream.prefillLeft <= 0) {
            continue;
        }
        stream.prefillLeft -= share;
        if (stream.prefillLeft > 0) {
            continue;
        }
        if (stream.work.crashesServer) {
            m_listener.onCrashed(m_handle);
            return;
        }
        m_listener.onPrefilled(stream.work.id, stream.cachedBlocks);
        m_listener.onCacheChanged(m_handle, m_cache.insert(stream.work.prefix));
    }
}

void FakeServer::decode()
{
    const double batchSlowdown =
        std::max(1.0, static_cast<double>(m_batch.size()) / static_cast<double>(m_model.slots));
    const double tokens =
        seconds(EngineStep) / (seconds(m_model.interToken) * batchSlowdown * m_slowFactor);
    for (auto &stream : m_batch) {
        if (stream.prefillLeft <= 0) {
            stream.decoded += tokens;
        }
    }
    std::erase_if(m_batch, [this](Stream &stream) { return emit(stream); });
}

bool FakeServer::emit(Stream &stream)
{
    const auto total =
        std::min(static_cast<std::uint32_t>(stream.decoded), stream.work.outputTokens);
    const auto fresh = total - stream.emitted;
    const bool done = total == stream.work.outputTokens;
    if (fresh > 0 && (done || stream.emitted == 0 || fresh >= TokensPerEvent)) {
        stream.emitted = total;
        m_listener.onTokens(stream.work.id, fresh);
    }
    if (done) {
        m_listener.onEnded(stream.work.id, AttemptResult::Completed);
    }
    return done;
}

} // namespace snipestall::policy::harness
