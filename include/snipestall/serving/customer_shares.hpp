#pragma once

#include <string>
#include <unordered_set>
#include <vector>

namespace snipestall::serving {

/// What one customer asks of all instances together.
struct CustomerDemand
{
    std::string customer;
    /// Quota units per second, including refused requests.
    double asked = 0;
    /// Rate of the customer's quota in units per second; 0 if it has none.
    double quotaRate = 0;
};

/// Tells which customers ask for more than their share.
///
/// Load: one customer sends several times its usual while servers are short. Harm: it takes room in
/// proportion to what it sends, and the requests of all others are late. A customer's share is the
/// part of its quota that the customers use on average, so that what some don't use goes to the
/// others; without quotas all shares are equal. While there is room, shares have no effect.
class CustomerShares
{
public:
    /// Replaces the demands; to be called a few times a second.
    void update(const std::vector<CustomerDemand> &demands);
    [[nodiscard]] bool isOver(const std::string &customer) const
    {
        return m_over.contains(customer);
    }

private:
    std::unordered_set<std::string> m_over;
};

} // namespace snipestall::serving
