#pragma once

#include <cstdint>
#include <map>

namespace snipestall::harness {

/// Hands out ports that nobody listens on. They come from below the range of which the system
/// gives ports to outgoing connections, so that none takes a port while its process is down or has
/// not yet bound it.
class PortPool
{
public:
    PortPool();
    ~PortPool();
    PortPool(const PortPool &) = delete;
    PortPool &operator=(const PortPool &) = delete;

    std::uint16_t take();

private:
    /// With the descriptor of its lock.
    std::map<std::uint16_t, int> m_taken;
    std::uint64_t m_seed;
};

} // namespace snipestall::harness
