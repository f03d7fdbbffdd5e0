#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::standins {

/// An order to load a model, unload a model or change the role.
struct Order
{
    std::string id;
    std::uint64_t fencing = 0;
    std::string kind;
    std::string model;
    std::string role;
};

/// The orders that an engine has accepted, oldest first.
class OrderLog
{
public:
    explicit OrderLog(bool checksFencing)
        : m_checksFencing(checksFencing)
    { }

    /// Throws std::invalid_argument if the body is not a valid order.
    static Order parse(const boost::json::object &body);
    /// Returns false if fencing tokens are checked and the order's token is lower than the greatest
    /// accepted one.
    bool add(Order order);
    [[nodiscard]] boost::json::object toJson() const;

private:
    bool m_checksFencing;
    std::uint64_t m_greatestFencing = 0;
    std::vector<Order> m_orders;
};

} // namespace snipestall::standins
