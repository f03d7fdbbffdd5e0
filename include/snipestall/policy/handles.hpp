#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace snipestall::policy {

/// Number given by the edge to something it tells the policy about. Different tags don't mix.
template<typename Tag>
struct Handle
{
    std::uint64_t value = 0;

    auto operator<=>(const Handle &) const = default;
};

/// One request on this instance, unique for the life of the process.
using RequestHandle = Handle<struct RequestTag>;
/// One try to run a request; given by the policy, unique for the life of the process.
using AttemptHandle = Handle<struct AttemptTag>;
/// One incarnation of a backend server.
using ServerHandle = Handle<struct ServerTag>;
/// One incarnation of a peer instance.
using PeerHandle = Handle<struct PeerTag>;

} // namespace snipestall::policy

template<typename Tag>
struct std::hash<snipestall::policy::Handle<Tag>>
{
    std::size_t operator()(const snipestall::policy::Handle<Tag> &handle) const noexcept
    {
        return std::hash<std::uint64_t> {}(handle.value);
    }
};
