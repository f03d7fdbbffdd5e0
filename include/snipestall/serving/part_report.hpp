#pragma once

#include "snipestall/serving/prompt_parts.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::serving {

/// A server that ended while a request was in flight there whose answer had not or had just begun.
struct ServerEnd
{
    std::string server;
    /// Time since the end.
    std::chrono::milliseconds age { 0 };
};

/// What an instance tells the others of a part that may crash servers.
struct PartReport
{
    PartName name;
    std::vector<ServerEnd> ends;
    /// Time since a request with the part was last answered in full; nothing if none is known.
    std::optional<std::chrono::milliseconds> answered;
    bool blocked = false;
    /// Whether the block is in the store.
    bool stored = false;
};

/// A blocked part as the store keeps it.
struct StoredPart
{
    PartName name;
    /// Process that tries the part once more; empty if none has.
    std::string triedBy;

    friend bool operator==(const StoredPart &, const StoredPart &) = default;
};

} // namespace snipestall::serving
