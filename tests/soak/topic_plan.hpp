#pragma once

#include "soak/fault_plan.hpp"
#include "soak/topic.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace snipestall::soak {

/// Draws the faults of a run with a topic of its own from the seed; none lasts beyond `quietFrom`.
std::vector<Fault> drawTopicFaults(Topic topic, std::uint64_t seed,
                                   std::chrono::milliseconds quietFrom);

} // namespace snipestall::soak
