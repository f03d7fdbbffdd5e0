#pragma once

#include "policy/harness/prefix_cache.hpp"

#include "snipestall/policy/event.hpp"

#include <cstdint>
#include <span>

namespace snipestall::policy::harness {

/// Receives the events of a fake backend server.
class ServerListener
{
public:
    virtual ~ServerListener() = default;

    virtual void onPrefilled(std::uint64_t work, std::size_t cachedBlocks) = 0;
    virtual void onTokens(std::uint64_t work, std::uint32_t count) = 0;
    virtual void onEnded(std::uint64_t work, AttemptResult result) = 0;
    virtual void onCacheChanged(ServerHandle server,
                                std::span<const PrefixCache::Change> changes) = 0;
    virtual void onCrashed(ServerHandle server) = 0;
};

} // namespace snipestall::policy::harness
