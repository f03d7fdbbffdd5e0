#include "common/registration.hpp"

#include "common/program.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace snipestall::standins {

namespace {

constexpr std::chrono::milliseconds RetryEvery { 100 };
constexpr std::chrono::milliseconds RemovalPatience { 500 };

wire::HttpRequest toRequest(const Listing &listing)
{
    boost::json::object body;
    body["name"] = listing.name;
    body["incarnation"] = listing.incarnation;
    body["role"] = "backend";
    body["address"] = listing.address;
    body["data_centre"] = listing.dataCentre;
    body["service"] = listing.service;
    body["class"] = listing.instanceClass;
    body["leaving"] = false;
    return { "POST", "/instances", {}, boost::json::serialize(body) };
}

} // namespace

Registration::Registration(boost::asio::io_context &io, std::optional<wire::Endpoint> platform)
    : m_client(io)
    , m_platform(std::move(platform))
{ }

wire::Task<void> Registration::add(Listing listing)
{
    if (!m_platform)
        co_return;
    while (true) {
        wire::HttpRequest request = toRequest(listing);
        const auto response = co_await m_client.fetch(*m_platform, std::move(request));
        if (response && response->status < 300)
            co_return;
        co_await wire::sleepFor(RetryEvery);
    }
}

wire::Task<void> Registration::remove(std::string name)
{
    if (!m_platform)
        co_return;
    wire::HttpRequest request { "DELETE", "/instances/" + name, {}, {} };
    wire::HttpCallOptions options;
    options.connectTimeout = RemovalPatience;
    options.idleTimeout = RemovalPatience;
    co_await m_client.fetch(*m_platform, std::move(request), std::move(options));
}

std::uint64_t freshIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace snipestall::standins
