#pragma once

#include "harness/topology.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace snipestall::harness {

/// Base of tests that run a topology. If the test fails, it prints every process's log and keeps
/// the topology's directory.
class TopologyTest : public testing::Test
{
protected:
    void TearDown() override;

    /// Starts a topology and applies its settings.
    Topology &start(TopologySpec spec);
    Topology &topology() { return *m_topology; }

private:
    std::unique_ptr<Topology> m_topology;
};

} // namespace snipestall::harness
