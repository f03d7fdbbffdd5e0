#pragma once

#include <utility>
#include <vector>

namespace snipestall::serving {

struct Customer;
struct Route;

/// The order in which engines are to admit requests of different customers and routes.
///
/// Load: requests of one customer for routes of different priority wait at one engine. Harm: if the
/// customer's priority replaced the route's, a long background task could go before a short
/// interactive request of the same customer. The customer's priority therefore decides first, and
/// the route's among requests of customers with equal priority.
class EngineRanks
{
public:
    /// Ranks are numbered from `MostUrgent` to `LeastUrgent`, as engines take them.
    static constexpr int MostUrgent = 0;
    static constexpr int LeastUrgent = 9;
    static constexpr int Bands = 3;

    EngineRanks() = default;
    EngineRanks(const std::vector<Route> &routes, const std::vector<Customer> &customers);

    /// The rank of a request; `customer` may be null.
    [[nodiscard]] int rank(const Customer *customer, const Route &route) const;
    /// The third of all ranks to which the rank belongs, 0 for the most urgent one.
    [[nodiscard]] int band(const Customer *customer, const Route &route) const;

private:
    /// The priority that decides first, and the priority of the route.
    using Pair = std::pair<int, int>;

    static Pair pairOf(const Customer *customer, const Route &route);
    /// Position of a pair among all that the configuration makes possible.
    [[nodiscard]] int position(const Customer *customer, const Route &route) const;

    /// Sorted.
    std::vector<Pair> m_pairs;
    /// Whether any customer has a priority; routes alone keep the numbers of the configuration.
    bool m_customersRanked = false;
};

} // namespace snipestall::serving
