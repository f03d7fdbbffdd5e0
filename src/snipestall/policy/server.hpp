#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace snipestall::policy {

struct Pool;
struct Request;

/// Row of the backend server table: one incarnation of an owned backend server.
struct Server
{
    ServerHandle handle;
    Pool *pool = nullptr;
    std::string dataCentre;
    std::string instanceClass;
    /// What the server can run side by side.
    std::uint32_t slots = 0;
    /// What it is given side by side, after adaptation.
    std::uint32_t limit = 0;

    bool leaving = false;
    bool gone = false;

    /// Attempts that run on it, by request.
    std::set<std::uint64_t> requests;
    /// Of these, those that may not use the reserved slots.
    std::uint32_t runningOther = 0;

    [[nodiscard]] std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(requests.size());
    }
    [[nodiscard]] bool usable() const { return !leaving && !gone; }
    [[nodiscard]] std::uint32_t freeSlots() const
    {
        return usable() && running() < limit ? limit - running() : 0;
    }
};

} // namespace snipestall::policy
