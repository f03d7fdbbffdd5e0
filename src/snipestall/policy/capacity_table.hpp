#pragma once

#include "snipestall/policy/time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace snipestall::policy {

/// Identifies the instances of one service that are of the same class and data centre.
struct GroupName
{
    std::string service;
    std::string dataCentre;
    std::string instanceClass;

    auto operator<=>(const GroupName &) const = default;
};

/// State of the capacity decisions that is kept between two reports.
struct CapacityTable
{
    struct Group
    {
        std::uint32_t running = 0;
        std::uint32_t starting = 0;
        /// Starts requested by this policy that no report shows yet.
        std::uint32_t requestedStarts = 0;
        Time requestedAt;

        [[nodiscard]] std::uint32_t size() const { return running + starting + requestedStarts; }
    };

    struct Backoff
    {
        Time until;
        Duration wait {};
    };

    struct Service
    {
        /// Time since which there have been more instances than needed.
        Time surplusSince = Time::max();
        Time releasedAt;
    };

    std::map<GroupName, Group> groups;
    /// Backoffs after refused starts, by data centre and class: the cloud lacks the class, whatever
    /// the service.
    std::map<std::pair<std::string, std::string>, Backoff> backoffs;
    std::map<std::string, Service> services;
    Time refusedAt;
};

} // namespace snipestall::policy
