#pragma once

#include <cstdint>
#include <string>

namespace snipestall::peer {

/// States that a request, by its fingerprint, was in flight on a backend server that crashed.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    std::string server;

    bool operator==(const CrashReport &) const = default;
};

} // namespace snipestall::peer
