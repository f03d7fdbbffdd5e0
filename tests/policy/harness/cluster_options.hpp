#pragma once

#include "snipestall/policy/decision_maker.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipestall::policy::harness {

/// Which instances receive the events of a backend server.
enum class Visibility {
    /// Only its owner, as in the product.
    Owner,
    /// Every instance, as for a balancer without owners.
    Everyone,
};

struct ClusterOptions
{
    using Factory = std::function<std::unique_ptr<DecisionMaker>(const std::string &dataCentre,
                                                                 std::uint64_t seed)>;

    Factory factory;
    Visibility visibility = Visibility::Owner;
    std::uint64_t seed = 1;
    Duration reportLag = std::chrono::milliseconds(500);
    Duration cacheEventLag = std::chrono::milliseconds(500);
    double cacheEventLoss = 0.1;
    /// If true, the policy starts and releases instances; otherwise each instance that ends is
    /// replaced, so that groups keep their size.
    bool policyBuysCapacity = false;
};

} // namespace snipestall::policy::harness
