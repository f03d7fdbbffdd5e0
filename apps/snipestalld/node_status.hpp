#pragma once

#include "snipestall/admin/status_source.hpp"

#include <chrono>

namespace snipestall::entry {
class Node;
}

/// Provides the status of a node for the operators' API.
class NodeStatus final : public snipestall::admin::StatusSource
{
public:
    explicit NodeStatus(snipestall::entry::Node &node);

    [[nodiscard]] snipestall::admin::InstanceStatus status() const override;

private:
    snipestall::entry::Node &m_node;
    std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
};
