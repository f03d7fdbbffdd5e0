#include "line_writer.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace snipestall {

namespace {

/// Lines are written in batches: an instance writes hundreds a second.
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
        m_ending = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void LineWriter::write(std::string line)
{
    const std::lock_guard lock(m_mutex);
    if (m_queuedBytes + line.size() > MostQueuedBytes) {
        ++m_dropped;
        return;
    }
    m_queuedBytes += line.size() + 1;
    m_lines.push_back(std::move(line));
    // The writer looks by itself; waking it for each line would cost a switch of threads each.
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
        m_wake.wait(lock, [this] { return m_ending || !m_lines.empty(); });
        if (!m_ending)
            m_wake.wait_for(lock, BatchTime, [this] { return m_ending; });
        std::string batch;
        for (const std::string &line : std::exchange(m_lines, {})) {
            batch += line;
            batch += '\n';
        }
        m_queuedBytes = 0;
        if (m_dropped > m_droppedSaid) {
            batch += "{\"severity\":\"warning\",\"name\":\"log-lines-dropped\",\"count\":"
                + std::to_string(m_dropped - m_droppedSaid) + "}\n";
            m_droppedSaid = m_dropped;
        }
        const bool ending = m_ending;
        lock.unlock();
        const bool written = writeAll(batch);
        lock.lock();
        if (ending || (!written && m_ending))
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
            if (m_ending)
                return false;
            continue;
        }
        // At most what a ready pipe is sure to take, so that the write does not block either.
        constexpr std::size_t PipeBytes = 4096;
        const ssize_t got =
            ::write(m_descriptor, text.data() + done, std::min(text.size() - done, PipeBytes));
        if (got < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (got > 0)
            done += static_cast<std::size_t>(got);
    }
    return true;
}

} // namespace snipestall
