#pragma once

#include <compare>
#include <string>

namespace snipestall::peer {

/// Identifies a non-idempotent request, which may be executed at most once.
struct ClaimKey
{
    std::string customer;
    std::string service;
    std::string idempotencyKey;

    auto operator<=>(const ClaimKey &) const = default;
};

} // namespace snipestall::peer
