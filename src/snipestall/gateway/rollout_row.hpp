#pragma once

#include "snipestall/serving/rollout_plan.hpp"

#include <set>
#include <string>

namespace snipestall::gateway {

/// The value of the row in which a rollout is recorded, with the versions that are out of service.
std::string encodeRollout(const serving::RolloutRecord &record,
                          const std::set<std::string> &barred);
/// Reads that value; fields that can't be read keep their values.
void decodeRollout(const std::string &text, serving::RolloutRecord &record,
                   std::set<std::string> &barred);

} // namespace snipestall::gateway
