#pragma once

#include <compare>
#include <string>

namespace snipestall::peer {

/// What a caller may have run at most once.
struct ClaimKey
{
    std::string customer;
    std::string service;
    std::string idempotencyKey;

    auto operator<=>(const ClaimKey &) const = default;
};

} // namespace snipestall::peer
