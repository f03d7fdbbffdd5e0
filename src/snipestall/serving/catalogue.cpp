#include "snipestall/serving/catalogue.hpp"

#include <utility>

namespace snipestall::serving {

Catalogue::Catalogue(std::int64_t version, std::vector<Route> routes, std::vector<Service> services,
                     std::vector<Customer> customers, TrafficLimits limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_customers(std::move(customers))
    , m_limits(limits)
    , m_engineRanks(m_routes, m_customers)
{
    for (std::size_t i = 0; i < m_routes.size(); ++i)
        m_byHost[m_routes[i].host][m_routes[i].prefix] = i;
    for (Service &service : services) {
        std::string name = service.name;
        m_services.emplace(std::move(name), std::move(service));
    }
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        for (const std::string &key : m_customers[i].keys)
            m_byKey[key] = i;
    }
}

const Route *Catalogue::route(std::string_view host, std::string_view path) const
{
    const auto onHost = m_byHost.find(std::string(host));
    if (onHost == m_byHost.end())
        return nullptr;
    // Every prefix ends with a slash, so only the parts of the path that end with a slash are
    // looked up.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = path.rfind('/', slash - 1)) {
        const auto found = onHost->second.find(std::string(path.substr(0, slash + 1)));
        if (found != onHost->second.end())
            return &m_routes[found->second];
        if (slash == 0)
            break;
    }
    return nullptr;
}

const Customer *Catalogue::customerOfKey(std::string_view key) const
{
    const auto found = m_byKey.find(std::string(key));
    return found == m_byKey.end() ? nullptr : &m_customers[found->second];
}

const Service *Catalogue::service(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace snipestall::serving
