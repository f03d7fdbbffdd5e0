#pragma once

#include "snipestall/serving/customer.hpp"
#include "snipestall/serving/engine_ranks.hpp"
#include "snipestall/serving/route.hpp"
#include "snipestall/serving/service.hpp"
#include "snipestall/serving/traffic_limits.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipestall::serving {

/// One version of the routes, services, customers and limits that the operator has configured.
/// Immutable once constructed.
class Catalogue
{
public:
    Catalogue(std::int64_t version, std::vector<Route> routes, std::vector<Service> services,
              std::vector<Customer> customers, TrafficLimits limits);

    [[nodiscard]] std::int64_t version() const { return m_version; }
    [[nodiscard]] const TrafficLimits &limits() const { return m_limits; }
    [[nodiscard]] const std::vector<Route> &routes() const { return m_routes; }
    [[nodiscard]] const std::vector<Customer> &customers() const { return m_customers; }
    [[nodiscard]] const std::map<std::string, Service> &services() const { return m_services; }
    [[nodiscard]] const EngineRanks &engineRanks() const { return m_engineRanks; }

    /// Returns the route of `host` with the longest prefix that matches the beginning of `path`;
    /// null if there is none.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;
    /// Returns the customer that holds `key`; null if no customer does.
    [[nodiscard]] const Customer *customerOfKey(std::string_view key) const;
    [[nodiscard]] const Service *service(const std::string &name) const;
    /// Whether customers are configured, in which case requests need a key.
    [[nodiscard]] bool hasCustomers() const { return !m_customers.empty(); }

private:
    std::int64_t m_version;
    std::vector<Route> m_routes;
    std::map<std::string, Service> m_services;
    std::vector<Customer> m_customers;
    TrafficLimits m_limits;
    EngineRanks m_engineRanks;
    /// Indices into m_routes by host, then by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> m_byHost;
    std::unordered_map<std::string, std::size_t> m_byKey;
};

} // namespace snipestall::serving
