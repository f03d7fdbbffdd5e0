#pragma once

#include "snipestall/serving/scaling_policy.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace snipestall::serving {

/// Fixed properties of the model engines of a service.
struct EngineProfile
{
    int slots = 1;
    /// Capacity of the KV cache of an engine, in tokens.
    double cacheTokens = 0;
    /// Whether an engine can hand a running request over to another engine.
    bool movesRuns = false;
    /// Time in which an engine copies the KV cache of one token from another engine of its data
    /// centre; 0 if engines can't.
    std::chrono::duration<double> copyPerToken { 0 };
};

/// A group of interchangeable backend servers.
struct Service
{
    std::string name;
    /// Set only for model engines.
    std::optional<EngineProfile> engine;
    /// Set if servers of this service can be ordered.
    std::optional<ScalingPolicy> scaling;
};

} // namespace snipestall::serving
