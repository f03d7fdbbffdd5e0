#include "snipestall/serving/engine_ranks.hpp"

#include "snipestall/serving/customer.hpp"
#include "snipestall/serving/route.hpp"

#include <algorithm>

namespace snipestall::serving {

EngineRanks::EngineRanks(const std::vector<Route> &routes, const std::vector<Customer> &customers)
{
    for (const Route &route : routes) {
        // Only streams go to engines.
        if (!route.isStream())
            continue;
        m_pairs.push_back(pairOf(nullptr, route));
        for (const Customer &customer : customers)
            m_pairs.push_back(pairOf(&customer, route));
    }
    std::sort(m_pairs.begin(), m_pairs.end());
    m_pairs.erase(std::unique(m_pairs.begin(), m_pairs.end()), m_pairs.end());
    m_customersRanked = std::any_of(customers.begin(), customers.end(),
                                    [](const Customer &each) { return each.priority.has_value(); });
}

EngineRanks::Pair EngineRanks::pairOf(const Customer *customer, const Route &route)
{
    const bool hasOwn = customer != nullptr && customer->priority;
    return { hasOwn ? *customer->priority : route.priority, route.priority };
}

int EngineRanks::position(const Customer *customer, const Route &route) const
{
    const auto found = std::lower_bound(m_pairs.begin(), m_pairs.end(), pairOf(customer, route));
    return static_cast<int>(found - m_pairs.begin());
}

int EngineRanks::rank(const Customer *customer, const Route &route) const
{
    const int wanted = m_customersRanked ? position(customer, route) : route.priority;
    return std::clamp(wanted, MostUrgent, LeastUrgent);
}

int EngineRanks::band(const Customer *customer, const Route &route) const
{
    const int count = std::max(static_cast<int>(m_pairs.size()), 1);
    return std::min(position(customer, route) * Bands / count, Bands - 1);
}

} // namespace snipestall::serving
