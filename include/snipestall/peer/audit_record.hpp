#pragma once

#include "snipestall/settings/difference.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::peer {

/// Audit entry of one accepted settings change. It is written in the same transaction as the
/// change itself.
struct AuditRecord
{
    std::string changeId;
    std::string who;
    std::string reason;
    std::chrono::system_clock::time_point at;
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::vector<settings::Difference> differences;
};

} // namespace snipestall::peer
