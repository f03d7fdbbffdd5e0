#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/stream_origin.hpp"
#include "snipestall/wire/task.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::gateway {

class LoadExchange;
class StreamGroupStore;
class VersionRegistrar;
struct GatewayState;

/// Source of an origin that only the store knew.
inline constexpr auto StoreGroupsSource = "store-groups";

/// The origin of a stream, if it is known for certain.
struct ResolvedOrigin
{
    std::optional<serving::StreamOrigin> origin;
    /// Where the origin is known from, or why it is not, for log lines.
    std::string source;
    /// Time since it was learned there.
    std::chrono::milliseconds age { 0 };
};

/// Finds out which service and software version began a stream that a caller takes up: from the
/// records of this instance, from the versions that can have begun streams at all, from the records
/// of other instances, and from those in the store.
class OriginResolver
{
public:
    OriginResolver(GatewayState &state, VersionRegistrar &registrar, LoadExchange &exchange,
                   StreamGroupStore &groups);

    /// `key`: the attempt that began the stream, if the caller names it.
    wire::Task<ResolvedOrigin> resolve(std::optional<std::uint64_t> key);

private:
    struct Search;

    [[nodiscard]] std::optional<ResolvedOrigin> ownRecord(std::uint64_t key) const;
    wire::Task<ResolvedOrigin> onlyVersion();
    wire::Task<ResolvedOrigin> askOthers(std::uint64_t key);
    /// Called when no instance knows the stream.
    wire::Task<ResolvedOrigin> readStored(std::uint64_t key);

    GatewayState &m_state;
    VersionRegistrar &m_registrar;
    LoadExchange &m_exchange;
    StreamGroupStore &m_groups;
    int m_searches = 0;
};

} // namespace snipestall::gateway
