#include "platform/platform_json.hpp"

#include "common/json_fields.hpp"

#include <stdexcept>

namespace snipestall::standins {

namespace json = boost::json;
using platform::InstanceRole;
using platform::ListedInstance;

namespace {

const json::object &asObject(const json::value &value)
{
    if (!value.is_object())
        throw std::invalid_argument("an element must be an object");
    return value.as_object();
}

platform::RowKey parseKey(const json::object &object)
{
    return { textField(object, "table"), textField(object, "key") };
}

std::uint64_t unsignedField(const json::object &object, std::string_view name)
{
    return static_cast<std::uint64_t>(integerField(object, name));
}

} // namespace

platform::Transaction parseTransaction(const json::object &body)
{
    platform::Transaction transaction;
    for (const auto &element : arrayField(body, "conditions")) {
        const auto &object = asObject(element);
        transaction.conditions.push_back({ parseKey(object), unsignedField(object, "version") });
    }
    for (const auto &element : arrayField(body, "writes")) {
        const auto &object = asObject(element);
        platform::Write write { parseKey(object), std::nullopt };
        if (object.contains("value") && !object.at("value").is_null())
            write.value = textField(object, "value");
        transaction.writes.push_back(std::move(write));
    }
    return transaction;
}

std::vector<platform::RowKey> parseKeys(const json::object &body)
{
    std::vector<platform::RowKey> keys;
    for (const auto &element : arrayField(body, "keys"))
        keys.push_back(parseKey(asObject(element)));
    return keys;
}

ListedInstance parseInstance(const json::object &body)
{
    ListedInstance instance;
    instance.name = textField(body, "name");
    instance.incarnation = unsignedField(body, "incarnation");
    instance.role =
        textField(body, "role") == "entry" ? InstanceRole::Entry : InstanceRole::Backend;
    instance.address = textField(body, "address");
    instance.dataCentre = textField(body, "data_centre");
    instance.service = textField(body, "service");
    instance.instanceClass = textField(body, "class");
    instance.leaving = flagField(body, "leaving");
    if (instance.name.empty())
        throw std::invalid_argument("'name' must not be empty");
    return instance;
}

platform::StartOrder parseStart(const json::object &body)
{
    platform::StartOrder order;
    order.orderId = textField(body, "order");
    order.fencingToken = unsignedField(body, "fencing");
    order.service = textField(body, "service");
    order.dataCentre = textField(body, "data_centre");
    order.instanceClass = textField(body, "class");
    if (order.orderId.empty())
        throw std::invalid_argument("'order' must not be empty");
    return order;
}

json::array toJson(std::span<const platform::Row> rows)
{
    json::array array;
    for (const auto &row : rows) {
        json::object object;
        object["table"] = row.key.table;
        object["key"] = row.key.key;
        object["value"] = row.value;
        object["version"] = row.version;
        array.push_back(std::move(object));
    }
    return array;
}

json::array toJson(std::span<const ListedInstance> instances)
{
    json::array array;
    for (const auto &instance : instances) {
        json::object object;
        object["name"] = instance.name;
        object["incarnation"] = instance.incarnation;
        object["role"] = instance.role == InstanceRole::Entry ? "entry" : "backend";
        object["address"] = instance.address;
        object["data_centre"] = instance.dataCentre;
        object["service"] = instance.service;
        object["class"] = instance.instanceClass;
        object["leaving"] = instance.leaving;
        if (instance.noticeLeft)
            object["notice_ms"] = instance.noticeLeft->count();
        array.push_back(std::move(object));
    }
    return array;
}

json::array toJson(std::span<const Start> starts)
{
    json::array array;
    for (const auto &start : starts) {
        json::object object;
        object["order"] = start.order.orderId;
        object["fencing"] = start.order.fencingToken;
        object["instance"] = start.instance;
        object["service"] = start.order.service;
        object["data_centre"] = start.order.dataCentre;
        object["class"] = start.order.instanceClass;
        object["released"] = start.released;
        array.push_back(std::move(object));
    }
    return array;
}

} // namespace snipestall::standins
