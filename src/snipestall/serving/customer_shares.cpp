#include "snipestall/serving/customer_shares.hpp"

#include <algorithm>
#include <cstddef>

namespace snipestall::serving {

namespace {

/// Demand varies by chance. A customer is over its share only if it asks for this much more, and if
/// the excess is a notable part of all demand: a small customer that happens to send a long prompt
/// takes no room of others.
constexpr double MinRatioToShare = 1.25;
constexpr double MinExcessFraction = 0.05;

/// The weight of customers without a quota where others have one: the average of these quotas.
/// With a weight of 0 they would be over their share whatever they ask for.
double usualWeight(const std::vector<CustomerDemand> &demands)
{
    double sum = 0;
    int count = 0;
    for (const CustomerDemand &demand : demands) {
        if (demand.quotaRate <= 0)
            continue;
        sum += demand.quotaRate;
        ++count;
    }
    return count == 0 ? 1 : sum / count;
}

/// The demand by weight of the middle customer; of two customers in the middle, the lower one.
double medianUse(std::vector<double> uses)
{
    const auto middle = uses.begin() + static_cast<std::ptrdiff_t>((uses.size() - 1) / 2);
    std::nth_element(uses.begin(), middle, uses.end());
    return *middle;
}

} // namespace

void CustomerShares::update(const std::vector<CustomerDemand> &demands)
{
    m_over.clear();
    const double usual = usualWeight(demands);
    const auto weightOf = [usual](const CustomerDemand &demand) {
        return demand.quotaRate > 0 ? demand.quotaRate : usual;
    };
    std::vector<double> uses;
    double total = 0;
    double weights = 0;
    for (const CustomerDemand &demand : demands) {
        if (demand.asked <= 0)
            continue;
        uses.push_back(demand.asked / weightOf(demand));
        total += demand.asked;
        weights += weightOf(demand);
    }
    if (uses.empty())
        return;
    // A flood must not raise the shares, its own among them. It is therefore counted up to the
    // quota, or up to what customers usually ask for if all of them ask for more.
    const double mostUse = std::max(1.0, medianUse(uses));
    const bool byQuota = std::any_of(demands.begin(), demands.end(),
                                     [](const auto &demand) { return demand.quotaRate > 0; });
    double used = 0;
    for (const CustomerDemand &demand : demands) {
        const double asked = std::max(demand.asked, 0.0);
        used += byQuota ? std::min(asked, weightOf(demand) * mostUse) : asked;
    }
    for (const CustomerDemand &demand : demands) {
        const double share = weightOf(demand) * used / weights;
        if (demand.asked > share * MinRatioToShare
            && demand.asked - share > total * MinExcessFraction)
            m_over.insert(demand.customer);
    }
}

} // namespace snipestall::serving
