#include "snipestall/platform/platform_json.hpp"

#include <boost/json.hpp>

#include <utility>

namespace snipestall::platform {

namespace json = boost::json;

namespace {

json::object toJson(const RowKey &key)
{
    return { { "table", key.table }, { "key", key.key } };
}

std::string requiredText(const json::object &object, std::string_view name)
{
    return std::string(json::value_to<std::string>(object.at(name)));
}

std::string textOrEmpty(const json::object &object, std::string_view name)
{
    const auto *found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

std::uint64_t numberOrZero(const json::object &object, std::string_view name)
{
    const auto *found = object.if_contains(name);
    return found == nullptr || found->is_null() ? 0 : found->to_number<std::uint64_t>();
}

bool flagOrFalse(const json::object &object, std::string_view name)
{
    const auto *found = object.if_contains(name);
    return found != nullptr && found->is_bool() && found->as_bool();
}

Row parseRow(const json::object &object)
{
    Row row;
    row.key = { requiredText(object, "table"), requiredText(object, "key") };
    row.value = textOrEmpty(object, "value");
    row.version = numberOrZero(object, "version");
    return row;
}

std::vector<Row> parseRows(const json::value &list)
{
    std::vector<Row> rows;
    for (const json::value &item : list.as_array())
        rows.push_back(parseRow(item.as_object()));
    return rows;
}

ListedInstance parseInstance(const json::object &object)
{
    ListedInstance instance;
    instance.name = requiredText(object, "name");
    instance.incarnation = numberOrZero(object, "incarnation");
    const bool entry = textOrEmpty(object, "role") == "entry";
    instance.role = entry ? InstanceRole::Entry : InstanceRole::Backend;
    instance.address = requiredText(object, "address");
    instance.dataCentre = textOrEmpty(object, "data_centre");
    instance.service = textOrEmpty(object, "service");
    instance.instanceClass = textOrEmpty(object, "class");
    instance.leaving = flagOrFalse(object, "leaving");
    const auto *notice = object.if_contains("notice_ms");
    if (notice != nullptr && notice->is_number())
        instance.noticeLeft = std::chrono::milliseconds(notice->to_number<std::int64_t>());
    return instance;
}

/// Parses `text` and applies `decoder`; an answer that does not follow the protocol becomes an
/// Error.
template<typename T, typename Decoder>
Result<T> decode(const std::string &text, Decoder decoder)
{
    try {
        const json::value parsed = json::parse(text);
        return decoder(parsed.as_object());
    } catch (const std::exception &exception) {
        return fail(ErrorKind::Internal,
                    std::string("the platform's answer does not follow its protocol: ")
                        + exception.what() + "; check the version of the platform");
    }
}

} // namespace

std::string encodeTransaction(const Transaction &transaction)
{
    json::array conditions;
    for (const Condition &condition : transaction.conditions) {
        json::object item = toJson(condition.key);
        item["version"] = condition.version;
        conditions.push_back(std::move(item));
    }
    json::array writes;
    for (const Write &write : transaction.writes) {
        json::object item = toJson(write.key);
        if (write.value)
            item["value"] = *write.value;
        writes.push_back(std::move(item));
    }
    json::object body;
    body["conditions"] = std::move(conditions);
    body["writes"] = std::move(writes);
    return json::serialize(body);
}

std::string encodeRead(const std::vector<RowKey> &keys)
{
    json::array list;
    for (const RowKey &key : keys)
        list.push_back(toJson(key));
    json::object body;
    body["keys"] = std::move(list);
    return json::serialize(body);
}

std::string encodeScan(std::string_view table, std::string_view prefix, std::string_view after,
                       std::size_t limit)
{
    json::object body;
    body["table"] = table;
    body["prefix"] = prefix;
    body["after"] = after;
    body["limit"] = limit;
    return json::serialize(body);
}

std::string encodeStart(const StartOrder &order)
{
    json::object body;
    body["order"] = order.orderId;
    body["fencing"] = order.fencingToken;
    body["service"] = order.service;
    body["data_centre"] = order.dataCentre;
    body["class"] = order.instanceClass;
    return json::serialize(body);
}

std::string encodeRelease(std::string_view instance, std::uint64_t fencingToken)
{
    json::object body;
    body["instance"] = instance;
    body["fencing"] = fencingToken;
    return json::serialize(body);
}

Result<TransactionOutcome> decodeTransactionOutcome(const std::string &text)
{
    return decode<TransactionOutcome>(text, [](const json::object &answer) {
        TransactionOutcome outcome;
        outcome.committed = answer.at("committed").as_bool();
        const auto *conflicts = answer.if_contains("conflicts");
        if (conflicts != nullptr && conflicts->is_array())
            outcome.conflicts = parseRows(*conflicts);
        return outcome;
    });
}

Result<std::vector<Row>> decodeRows(const std::string &text)
{
    return decode<std::vector<Row>>(
        text, [](const json::object &answer) { return parseRows(answer.at("rows")); });
}

Result<std::vector<ListedInstance>> decodeInstances(const std::string &text)
{
    return decode<std::vector<ListedInstance>>(text, [](const json::object &answer) {
        std::vector<ListedInstance> instances;
        for (const json::value &item : answer.at("instances").as_array())
            instances.push_back(parseInstance(item.as_object()));
        return instances;
    });
}

Result<std::string> decodeStarted(const std::string &text)
{
    return decode<std::string>(
        text, [](const json::object &answer) { return requiredText(answer, "instance"); });
}

} // namespace snipestall::platform
