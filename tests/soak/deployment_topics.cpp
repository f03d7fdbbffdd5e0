#include "soak/deployment.hpp"

#include "harness/temp_dir.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace snipestall::soak {

using std::chrono::milliseconds;

namespace {

/// A server that answers without end gives up after so many bytes. It is more than a gateway may
/// grow by, and little enough for the machine if a gateway keeps them all.
constexpr std::size_t EndlessBytes = std::size_t(96) << 20U;

/// Number of bytes in a line of a process's status, such as "VmHWM"; 0 if the process has ended.
std::size_t memoryOf(pid_t process, const std::string &name)
{
    std::istringstream status(harness::readFile("/proc/" + std::to_string(process) + "/status"));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":"))
            return std::stoul(line.substr(name.size() + 1)) * 1024;
    }
    return 0;
}

} // namespace

void Deployment::readMemory()
{
    for (ManagedProcess &managed : m_gateways) {
        const pid_t process = managed.process->pid();
        if (managed.measured != process)
            managed.memoryAtFirst = memoryOf(process, "VmRSS");
        managed.measured = process;
        const std::size_t peak = memoryOf(process, "VmHWM");
        if (peak > managed.memoryAtFirst)
            managed.memoryGrowth = std::max(managed.memoryGrowth, peak - managed.memoryAtFirst);
    }
}

std::vector<std::size_t> Deployment::memoryGrowth() const
{
    std::vector<std::size_t> growth;
    for (const ManagedProcess &managed : m_gateways)
        growth.push_back(managed.memoryGrowth);
    return growth;
}

void Deployment::startEndlessServer(std::size_t index)
{
    const wire::Endpoint address = allocateEndpoint();
    const std::string name = "endless-" + std::to_string(index);
    m_endlessServers.push_back(
        start(name, "endless-server",
              { "--listen=" + address.toString(), "--bytes=" + std::to_string(EndlessBytes),
                "--seed=" + std::to_string(index) }));
    m_endlessServers.push_back(
        start("raw-" + std::to_string(index), "standin-backend",
              { "--id=raw" + std::to_string(index), "--service=raw", "--software=v1",
                "--data_centre=dc-" + std::to_string(index % 2),
                "--listen=" + allocateEndpoint().toString(), "--advertised=" + address.toString(),
                "--store=" + m_storeAddress.toString() }));
}

void Deployment::forEachNamed(const Fault &fault, void (*change)(ManagedProcess &managed))
{
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        if ((fault.target >> i & 1U) != 0)
            change(m_backends[i]);
    }
}

void Deployment::silenceBackends(const Fault &fault)
{
    forEachNamed(fault, &Deployment::pause);
}

void Deployment::endSilence(const Fault &fault)
{
    forEachNamed(fault, &Deployment::resume);
}

void Deployment::changeIdleLimit(const Fault &fault)
{
    constexpr std::array Limits { SmallestIdleLimit, milliseconds(4000), milliseconds(15000) };
    m_idleLimit = Limits.at(fault.target % Limits.size());
    m_version += 2;
    m_isConfigurationDue = true;
}

void Deployment::changeTimeouts(const Fault &fault)
{
    // Longer than two silences in series and an answer.
    constexpr std::array Timeouts { milliseconds(4000), milliseconds(4300), milliseconds(4600) };
    m_timeout = Timeouts.at(fault.target % Timeouts.size());
    m_version += 5;
    m_isConfigurationDue = true;
}

void Deployment::toggleEndlessMessages(const Fault &)
{
    m_endlessMessages = !m_endlessMessages;
}

} // namespace snipestall::soak
