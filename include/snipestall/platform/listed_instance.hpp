#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::platform {

enum class InstanceRole {
    Entry,
    Backend,
};

/// One entry of the platform's instance list. It is only a hint, because the list lags behind the
/// actual state.
struct ListedInstance
{
    std::string name;
    /// Increases each time that the platform assigns the name or the address again.
    std::uint64_t incarnation = 0;
    InstanceRole role = InstanceRole::Backend;
    /// Address for callers and peers, as IP:PORT.
    std::string address;
    std::string dataCentre;
    std::string service;
    std::string instanceClass;
    bool leaving = false;
    /// Time until the platform reclaims the instance; empty if no notice was given.
    std::optional<std::chrono::milliseconds> noticeLeft;
};

} // namespace snipestall::platform
