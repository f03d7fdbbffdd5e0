#include "snipestall/serving/engine_ranks.hpp"

#include "snipestall/serving/customer.hpp"
#include "snipestall/serving/route.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace snipestall::serving {
namespace {

Route streamRoute(int priority)
{
    Route route;
    route.kind = Repeatability::Stream;
    route.priority = priority;
    return route;
}

Customer customerOf(std::optional<int> priority)
{
    Customer customer;
    customer.priority = priority;
    return customer;
}

// Guards against background work of a customer that goes before its interactive requests, because
// the customer's priority hides those of the routes.
TEST(EngineRanks, RouteDecidesAmongEqualCustomers)
{
    const std::vector<Route> routes { streamRoute(0), streamRoute(2) };
    const std::vector<Customer> customers { customerOf(0), customerOf(1) };
    const EngineRanks ranks(routes, customers);
    EXPECT_LT(ranks.rank(&customers[0], routes[0]), ranks.rank(&customers[0], routes[1]));
    EXPECT_LT(ranks.rank(&customers[0], routes[1]), ranks.rank(&customers[1], routes[0]));
    EXPECT_LT(ranks.rank(&customers[1], routes[0]), ranks.rank(&customers[1], routes[1]));
}

// Guards against a change of the order where no customer has a priority.
TEST(EngineRanks, RoutesAloneKeepTheirNumbers)
{
    const std::vector<Route> routes { streamRoute(1), streamRoute(4) };
    const EngineRanks ranks(routes, { customerOf(std::nullopt) });
    EXPECT_EQ(ranks.rank(nullptr, routes[0]), 1);
    EXPECT_EQ(ranks.rank(nullptr, routes[1]), 4);
    EXPECT_EQ(EngineRanks().rank(nullptr, streamRoute(12)), EngineRanks::LeastUrgent);
}

// Guards against ranks that an engine does not take.
TEST(EngineRanks, ManyPrioritiesStayWithinTheNumbersOfEngines)
{
    std::vector<Route> routes;
    std::vector<Customer> customers;
    for (int i = 0; i < 6; ++i) {
        routes.push_back(streamRoute(i));
        customers.push_back(customerOf(i));
    }
    const EngineRanks ranks(routes, customers);
    EXPECT_EQ(ranks.rank(&customers[0], routes[0]), EngineRanks::MostUrgent);
    EXPECT_EQ(ranks.rank(&customers[5], routes[5]), EngineRanks::LeastUrgent);
    EXPECT_EQ(ranks.band(&customers[0], routes[0]), 0);
    EXPECT_EQ(ranks.band(&customers[5], routes[5]), EngineRanks::Bands - 1);
}

TEST(EngineRanks, ThreeRoutesAreThreeBands)
{
    const std::vector<Route> routes { streamRoute(0), streamRoute(1), streamRoute(2) };
    const EngineRanks ranks(routes, {});
    for (int i = 0; i < EngineRanks::Bands; ++i)
        EXPECT_EQ(ranks.band(nullptr, routes[static_cast<std::size_t>(i)]), i);
}

} // namespace
} // namespace snipestall::serving
