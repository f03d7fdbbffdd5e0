#pragma once

#include "snipestall/policy/decision_maker.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipestall::policy::harness {

/// Which instances receive the events of a backend server.
enum class EventRecipients {
    /// Only its owner, as in the product.
    OwnerOnly,
    /// Every instance, as for a balancer without owners.
    AllInstances,
};

struct ClusterOptions
{
    using Factory = std::function<std::unique_ptr<DecisionMaker>(const std::string &dataCentre,
                                                                 std::uint64_t seed)>;

    Factory factory;
    EventRecipients eventRecipients = EventRecipients::OwnerOnly;
    std::uint64_t seed = 1;
    Duration reportLag = std::chrono::milliseconds(500);
    Duration cacheEventLag = std::chrono::milliseconds(500);
    double cacheEventLoss = 0.1;
    /// If true, the policy starts and releases instances; otherwise each instance that ends is
    /// replaced, so that groups keep their size.
    bool policyManagesCapacity = false;
};

} // namespace snipestall::policy::harness
