#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::standins {

/// One order to load or unload a model or to change role.
struct Order
{
    std::string id;
    std::uint64_t fencing = 0;
    std::string kind;
    std::string model;
    std::string role;
};

/// The orders that an engine carried out, in order.
class OrderLog
{
public:
    explicit OrderLog(bool checksFencing)
        : m_checksFencing(checksFencing)
    { }

    /// Throws std::invalid_argument for a body that the protocol does not allow.
    static Order parse(const boost::json::object &body);
    /// False for an old fencing number, where the engine checks them.
    bool add(Order order);
    [[nodiscard]] boost::json::object toJson() const;

private:
    bool m_checksFencing;
    std::uint64_t m_greatest = 0;
    std::vector<Order> m_orders;
};

} // namespace snipestall::standins
