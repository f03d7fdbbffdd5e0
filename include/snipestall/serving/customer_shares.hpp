#pragma once

#include <string>
#include <unordered_set>
#include <vector>

namespace snipestall::serving {

/// What one customer requests of all instances together.
struct CustomerDemand
{
    std::string customer;
    /// Quota units per second, including refused requests.
    double asked = 0;
    /// Rate of the customer's quota in units per second; 0 if it has none.
    double quotaRate = 0;
};

/// Determines which customers request more than their share.
///
/// Load: one customer sends several times its usual load while servers are short. Harm: it gets
/// capacity in proportion to what it sends, and the requests of all others are late. A customer's
/// share is the part of its quota that the customers use on average, so that what some don't use
/// goes to the others; without quotas all shares are equal. A customer without a quota has a share
/// of 0 where others have quotas. While there is spare capacity, shares have no effect.
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
