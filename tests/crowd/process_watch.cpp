#include "crowd/process_watch.hpp"

#include "harness/temp_dir.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace snipestall::crowd {

namespace {

constexpr std::chrono::milliseconds ReadInterval { 10 };
constexpr std::size_t BytesPerKilobyte = 1024;

std::string procPath(pid_t process, const std::string &name)
{
    return "/proc/" + std::to_string(process) + "/" + name;
}

std::size_t residentBytes(pid_t process, const std::string &name)
{
    std::istringstream status(harness::readFile(procPath(process, "status")));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":"))
            return std::stoul(line.substr(name.size() + 1)) * BytesPerKilobyte;
    }
    return 0;
}

/// Numbers of the sockets that the process has open.
std::set<std::string> socketsOf(pid_t process)
{
    constexpr std::string_view Prefix = "socket:[";
    std::set<std::string> sockets;
    std::error_code ended;
    for (const auto &file : std::filesystem::directory_iterator(procPath(process, "fd"), ended)) {
        const std::string target = std::filesystem::read_symlink(file, ended).string();
        if (!ended && target.starts_with(Prefix))
            sockets.insert(target.substr(Prefix.size(), target.size() - Prefix.size() - 1));
    }
    return sockets;
}

/// Bytes in the receive queues of the process's connections, and of those to these ports, which it
/// may not have accepted yet.
std::size_t unreadBytes(pid_t process, const std::vector<std::uint16_t> &ports)
{
    constexpr int Hex = 16;
    constexpr auto Listening = "0A";
    const std::set<std::string> sockets = socketsOf(process);
    std::istringstream table(harness::readFile(procPath(process, "net/tcp")));
    std::string line;
    std::getline(table, line);
    std::size_t bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string unused;
        std::string local;
        std::string state;
        std::string queues;
        std::string socket;
        fields >> unused >> local >> unused >> state >> queues >> unused >> unused >> unused
            >> unused >> socket;
        const auto port =
            static_cast<std::uint16_t>(std::stoul(local.substr(local.find(':') + 1), nullptr, Hex));
        const bool waits = std::ranges::find(ports, port) != ports.end();
        if (state != Listening && (waits || sockets.contains(socket)))
            bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, Hex);
    }
    return bytes;
}

std::size_t descriptors(pid_t process)
{
    std::error_code ended;
    const std::filesystem::directory_iterator open(procPath(process, "fd"), ended);
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

void raise(std::atomic<std::size_t> &most, std::size_t value)
{
    most = std::max(most.load(), value);
}

} // namespace

ProcessWatch::ProcessWatch(pid_t process, std::vector<std::uint16_t> ports)
    : m_process(process)
    , m_ports(std::move(ports))
    , m_thread([this] { read(); })
{ }

ProcessWatch::~ProcessWatch()
{
    m_stopped = true;
    m_thread.join();
}

void ProcessWatch::read()
{
    while (!m_stopped) {
        const std::size_t unread = unreadBytes(m_process, m_ports);
        raise(m_mostUnread, unread);
        raise(m_mostBytes, residentBytes(m_process, "VmRSS") + unread);
        // The kernel keeps the peak between two reads.
        raise(m_mostBytes, residentBytes(m_process, "VmHWM"));
        raise(m_mostDescriptors, descriptors(m_process));
        std::this_thread::sleep_for(ReadInterval);
    }
}

} // namespace snipestall::crowd
