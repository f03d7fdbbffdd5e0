#include "line_writer.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace snipestall {

namespace {

/// Time over which lines are collected into one write, because an instance logs hundreds of lines
/// per second.
constexpr std::chrono::milliseconds BatchTime { 20 };
constexpr int PollMs = 50;

} // namespace

LineWriter::LineWriter(int descriptor)
    : m_descriptor(descriptor)
    , m_thread([this] { run(); })
{ }

LineWriter::~LineWriter()
{
    finish();
}

void LineWriter::finish()
{
    if (!m_thread.joinable())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_finishing = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void LineWriter::write(std::string line)
{
    const std::lock_guard lock(m_mutex);
    if (m_queuedBytes + line.size() > MaxQueuedBytes) {
        ++m_dropped;
        return;
    }
    m_queuedBytes += line.size() + 1;
    m_lines.push_back(std::move(line));
    // The writer collects later lines by itself; waking it for each one would cost a context switch
    // per line.
    if (m_lines.size() == 1)
        m_wake.notify_one();
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void LineWriter::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_finishing || !m_lines.empty(); });
        if (!m_finishing)
            m_wake.wait_for(lock, BatchTime, [this] { return m_finishing; });
        std::string batch;
        for (const std::string &line : std::exchange(m_lines, {})) {
            batch += line;
            batch += '\n';
        }
        m_queuedBytes = 0;
        if (m_dropped > m_droppedReported) {
            batch += "{\"severity\":\"warning\",\"name\":\"log-lines-dropped\",\"count\":"
                + std::to_string(m_dropped - m_droppedReported) + "}\n";
            m_droppedReported = m_dropped;
        }
        const bool finishing = m_finishing;
        lock.unlock();
        const bool written = writeAll(batch);
        lock.lock();
        if (finishing || (!written && m_finishing))
            return;
    }
}

bool LineWriter::writeAll(const std::string &text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        pollfd ready { m_descriptor, POLLOUT, 0 };
        if (::poll(&ready, 1, PollMs) <= 0) {
            const std::lock_guard lock(m_mutex);
            if (m_finishing)
                return false;
            continue;
        }
        // A pipe that is ready accepts at least this much, so the write doesn't block.
        constexpr std::size_t PipeBytes = 4096;
        const ssize_t written =
            ::write(m_descriptor, text.data() + done, std::min(text.size() - done, PipeBytes));
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (written > 0)
            done += static_cast<std::size_t>(written);
    }
    return true;
}

} // namespace snipestall
