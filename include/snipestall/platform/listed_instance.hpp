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

/// One line of the platform's instance list: a hint that lags.
struct ListedInstance
{
    std::string name;
    /// Grows each time that the name or address is given out anew.
    std::uint64_t incarnation = 0;
    InstanceRole role = InstanceRole::Backend;
    /// Address callers and peers use, IP:PORT.
    std::string address;
    std::string dataCentre;
    std::string service;
    std::string instanceClass;
    bool leaving = false;
    /// Time left until it is taken, where there is a notice.
    std::optional<std::chrono::milliseconds> noticeLeft;
};

} // namespace snipestall::platform
