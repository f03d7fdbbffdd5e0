#include "harness/topology_test_base.hpp"

#include <iostream>
#include <stdexcept>

namespace snipestall::harness {

void TopologyTest::TearDown()
{
    if (!HasFailure() || m_topology == nullptr)
        return;
    m_topology->directory().keep();
    std::cerr << m_topology->logs() << "files kept in " << m_topology->directory().path() << '\n';
}

Topology &TopologyTest::start(TopologySpec spec)
{
    auto topology = Topology::start(std::move(spec));
    if (!topology)
        throw std::runtime_error(topology.error().message);
    m_topology = std::move(*topology);
    m_topology->applySettings();
    return *m_topology;
}

} // namespace snipestall::harness
