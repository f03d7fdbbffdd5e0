#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace snipestall::crowd {

/// Reads again and again how much memory a process uses, with the bytes that the kernel has
/// received for it and that it has not read, and how many descriptors are open.
class ProcessWatch
{
public:
    /// `ports`: those on which the process listens.
    ProcessWatch(pid_t process, std::vector<std::uint16_t> ports);
    ~ProcessWatch();
    ProcessWatch(const ProcessWatch &) = delete;
    ProcessWatch &operator=(const ProcessWatch &) = delete;

    [[nodiscard]] std::size_t mostBytes() const { return m_mostBytes; }
    [[nodiscard]] std::size_t mostUnread() const { return m_mostUnread; }
    [[nodiscard]] std::size_t mostDescriptors() const { return m_mostDescriptors; }

private:
    void read();

    pid_t m_process;
    std::vector<std::uint16_t> m_ports;
    std::atomic<std::size_t> m_mostBytes { 0 };
    std::atomic<std::size_t> m_mostUnread { 0 };
    std::atomic<std::size_t> m_mostDescriptors { 0 };
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace snipestall::crowd
