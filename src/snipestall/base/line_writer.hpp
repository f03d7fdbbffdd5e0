#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace snipestall {

/// Writes lines to a file descriptor from a thread of its own.
///
/// Failure: whoever reads the log stops reading. It shows as a process whose requests all stand
/// still, since a write to a full pipe blocks. Lines wait in a bounded queue instead; what does not
/// fit is dropped and counted, and the count is written once there is room again.
class LineWriter
{
public:
    explicit LineWriter(int descriptor);
    ~LineWriter();

    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    /// Never blocks on the descriptor. The line ends without a newline.
    void write(std::string line);
    [[nodiscard]] std::uint64_t dropped() const;
    /// Writes what is queued, but waits for a reader that has stopped only a moment. What comes
    /// later is not written.
    void finish();

private:
    /// Some seconds of a busy instance's lines.
    static constexpr std::size_t MostQueuedBytes = 2 * 1024 * 1024;

    void run();
    /// False if the descriptor takes no more before the process ends.
    bool writeAll(const std::string &text);

    int m_descriptor;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_lines;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedSaid = 0;
    bool m_ending = false;
    std::thread m_thread;
};

} // namespace snipestall
