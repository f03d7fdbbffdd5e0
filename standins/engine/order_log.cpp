#include "engine/order_log.hpp"

#include "common/json_fields.hpp"

#include <algorithm>
#include <stdexcept>

namespace snipestall::standins {

Order OrderLog::parse(const boost::json::object &body)
{
    Order order;
    order.id = textField(body, "order");
    order.fencing = static_cast<std::uint64_t>(integerField(body, "fencing"));
    order.kind = textField(body, "kind");
    order.model = textField(body, "model");
    order.role = textField(body, "role");
    if (order.kind != "load" && order.kind != "unload" && order.kind != "role")
        throw std::invalid_argument("'kind' must be load, unload or role");
    return order;
}

bool OrderLog::add(Order order)
{
    if (m_checksFencing && order.fencing < m_greatestFencing)
        return false;
    m_greatestFencing = std::max(m_greatestFencing, order.fencing);
    m_orders.push_back(std::move(order));
    return true;
}

boost::json::object OrderLog::toJson() const
{
    boost::json::array orders;
    for (const auto &order : m_orders) {
        boost::json::object object;
        object["order"] = order.id;
        object["fencing"] = order.fencing;
        object["kind"] = order.kind;
        if (!order.model.empty())
            object["model"] = order.model;
        if (!order.role.empty())
            object["role"] = order.role;
        orders.push_back(std::move(object));
    }
    boost::json::object answer;
    answer["fencing"] = m_greatestFencing;
    answer["orders"] = std::move(orders);
    return answer;
}

} // namespace snipestall::standins
