#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace snipestall::policy {

/// Number that identifies an object in events and commands. Handles with different tags are
/// distinct types.
template<typename Tag>
struct Handle
{
    std::uint64_t value = 0;

    auto operator<=>(const Handle &) const = default;
};

/// One request on this instance, unique for the lifetime of the process.
using RequestHandle = Handle<struct RequestTag>;
/// One attempt to run a request; assigned by the policy, unique for the lifetime of the process.
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
