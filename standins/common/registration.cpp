#include "common/registration.hpp"

#include "common/program.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace snipestall::standins {

namespace {

constexpr std::chrono::milliseconds RetryInterval { 100 };
constexpr std::chrono::milliseconds RemovalTimeout { 500 };

wire::HttpRequest toRequest(const InstanceRecord &record)
{
    boost::json::object body;
    body["name"] = record.name;
    body["incarnation"] = record.incarnation;
    body["role"] = "backend";
    body["address"] = record.address;
    body["data_centre"] = record.dataCentre;
    body["service"] = record.service;
    body["class"] = record.instanceClass;
    body["leaving"] = false;
    return { "POST", "/instances", {}, boost::json::serialize(body) };
}

} // namespace

Registration::Registration(boost::asio::io_context &io, std::optional<wire::Endpoint> platform)
    : m_client(io)
    , m_platform(std::move(platform))
{ }

wire::Task<void> Registration::add(InstanceRecord record)
{
    if (!m_platform)
        co_return;
    while (true) {
        wire::HttpRequest request = toRequest(record);
        const auto response = co_await m_client.fetch(*m_platform, std::move(request));
        if (response && response->status < 300)
            co_return;
        co_await wire::sleepFor(RetryInterval);
    }
}

wire::Task<void> Registration::remove(std::string name)
{
    if (!m_platform)
        co_return;
    wire::HttpRequest request { "DELETE", "/instances/" + name, {}, {} };
    wire::HttpCallOptions options;
    options.connectTimeout = RemovalTimeout;
    options.idleTimeout = RemovalTimeout;
    co_await m_client.fetch(*m_platform, std::move(request), std::move(options));
}

std::uint64_t incarnationFromClock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace snipestall::standins
