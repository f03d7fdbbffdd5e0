#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace snipestall {

/// Writes lines to a file descriptor from a separate thread.
///
/// A write to a full pipe blocks, so a reader of the log that stops reading would otherwise stop
/// all requests of the process. Lines wait in a bounded queue instead. Lines that don't fit are
/// dropped and counted, and the count is written once there is room again.
class LineWriter
{
public:
    explicit LineWriter(int descriptor);
    ~LineWriter();

    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    /// Queues a line, given without its newline. Never blocks on the descriptor.
    void write(std::string line);
    /// Number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped() const;
    /// Writes the queued lines and ends the thread, but waits only briefly for a reader that has
    /// stopped. Later lines are not written.
    void finish();

private:
    /// Holds the lines that a busy instance writes in a few seconds.
    static constexpr std::size_t MaxQueuedBytes = 2 * 1024 * 1024;

    void run();
    /// Returns false if the descriptor fails, or accepts no more bytes while the writer is
    /// finishing.
    bool writeAll(const std::string &text);

    int m_descriptor;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_lines;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    bool m_finishing = false;
    std::thread m_thread;
};

} // namespace snipestall
