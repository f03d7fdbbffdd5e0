#pragma once

#include "harness/topology.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace snipestall::harness {

/// A test over a topology; prints every process's log and keeps its directory if it fails.
class TopologyTest : public testing::Test
{
protected:
    void TearDown() override;

    /// Starts a topology and puts its settings in force.
    Topology &start(TopologySpec spec);
    Topology &topology() { return *m_topology; }

private:
    std::unique_ptr<Topology> m_topology;
};

} // namespace snipestall::harness
