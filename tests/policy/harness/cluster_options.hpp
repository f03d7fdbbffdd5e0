#pragma once

#include "snipestall/policy/decision_maker.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipestall::policy::harness {

/// Which instances hear of a backend server.
enum class Visibility {
    /// Its owner alone, as the product runs.
    Owner,
    /// Every instance, as a balancer without owners runs.
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
    /// The policy starts and releases instances; otherwise a group of fixed size replaces what
    /// ends.
    bool policyBuysCapacity = false;
};

} // namespace snipestall::policy::harness
