#pragma once

#include <cstdint>
#include <string>

namespace snipestall::peer {

/// A request was in flight on a backend server that died.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    std::string server;

    bool operator==(const CrashReport &) const = default;
};

} // namespace snipestall::peer
