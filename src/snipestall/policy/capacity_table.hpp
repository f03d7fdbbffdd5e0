#pragma once

#include "snipestall/policy/time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace snipestall::policy {

/// Instances of one service that are bought alike.
struct GroupName
{
    std::string service;
    std::string dataCentre;
    std::string instanceClass;

    auto operator<=>(const GroupName &) const = default;
};

/// What the policy remembers between two reports of the capacity bought.
struct CapacityTable
{
    struct Group
    {
        std::uint32_t running = 0;
        std::uint32_t starting = 0;
        /// Starts asked for that no report shows yet.
        std::uint32_t asked = 0;
        Time askedAt;

        [[nodiscard]] std::uint32_t size() const { return running + starting + asked; }
    };

    struct Backoff
    {
        Time until;
        Duration wait {};
    };

    struct Service
    {
        /// Since when there are more instances than needed.
        Time surplusSince = Time::max();
        Time releasedAt;
    };

    std::map<GroupName, Group> groups;
    /// Of refused starts, by data centre and class: the cloud lacks the class, not the service.
    std::map<std::pair<std::string, std::string>, Backoff> backoffs;
    std::map<std::string, Service> services;
    Time refusedAt;
};

} // namespace snipestall::policy
