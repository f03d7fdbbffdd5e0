#include "snipestall/serving/customer_shares.hpp"

#include <algorithm>

namespace snipestall::serving {

namespace {

/// Demand varies by chance. A customer is over its share only if it requests this many times the
/// share, and if the excess is a notable part of all demand: a small customer that happens to send
/// a long prompt takes no capacity from others.
constexpr double MinRatioToShare = 1.25;
constexpr double MinExcessFraction = 0.05;

} // namespace

void CustomerShares::update(const std::vector<CustomerDemand> &demands)
{
    m_over.clear();
    const bool byQuota = std::any_of(demands.begin(), demands.end(),
                                     [](const auto &demand) { return demand.quotaRate > 0; });
    double total = 0;
    double used = 0;
    double weights = 0;
    for (const CustomerDemand &demand : demands) {
        if (demand.asked <= 0)
            continue;
        const double weight = byQuota ? demand.quotaRate : 1;
        total += demand.asked;
        // Requests beyond a quota are refused because of it and use no servers.
        used += byQuota ? std::min(demand.asked, weight) : demand.asked;
        weights += weight;
    }
    if (weights <= 0)
        return;
    for (const CustomerDemand &demand : demands) {
        const double share = (byQuota ? demand.quotaRate : 1) * used / weights;
        if (demand.asked > share * MinRatioToShare
            && demand.asked - share > total * MinExcessFraction)
            m_over.insert(demand.customer);
    }
}

} // namespace snipestall::serving
