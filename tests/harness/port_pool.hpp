#pragma once

#include <cstdint>
#include <map>

namespace snipestall::harness {

/// Allocates ports on which no process listens. They are below the range from which the system
/// assigns ports to outgoing connections, so that no connection takes a port while its process is
/// down or has not bound it yet.
class PortPool
{
public:
    PortPool();
    ~PortPool();
    PortPool(const PortPool &) = delete;
    PortPool &operator=(const PortPool &) = delete;

    std::uint16_t take();

private:
    /// Allocated ports with the file descriptors of their locks.
    std::map<std::uint16_t, int> m_taken;
    std::uint64_t m_seed;
};

} // namespace snipestall::harness
