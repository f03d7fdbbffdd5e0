#include "harness/http_call.hpp"

#include "snipestall/wire/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

namespace snipestall::harness {

namespace {

wire::Task<void> fetchInto(wire::HttpClient &client, wire::Endpoint endpoint,
                           wire::HttpRequest request, wire::HttpCallOptions options,
                           Result<wire::HttpResponse> &result)
{
    result = co_await client.fetch(std::move(endpoint), std::move(request), std::move(options));
}

} // namespace

Result<wire::HttpResponse> httpCall(const wire::Endpoint &endpoint, wire::HttpRequest request,
                                    std::chrono::milliseconds limit)
{
    Result<wire::HttpResponse> result = fail(ErrorKind::Internal, "the call did not end");
    boost::asio::io_context io;
    wire::HttpClient client(io);
    wire::HttpCallOptions options;
    options.idleTimeout = limit;
    options.freshConnection = true;
    boost::asio::co_spawn(io, fetchInto(client, endpoint, std::move(request), options, result),
                          boost::asio::detached);
    io.run();
    return result;
}

Result<wire::HttpResponse> httpGet(const wire::Endpoint &endpoint, const std::string &target)
{
    return httpCall(endpoint, { "GET", target, {}, {} });
}

Result<wire::HttpResponse> httpPost(const wire::Endpoint &endpoint, const std::string &target,
                                    const std::string &body)
{
    return httpCall(endpoint, { "POST", target, {}, body });
}

boost::json::object httpGetObject(const wire::Endpoint &endpoint, const std::string &target)
{
    const auto response = httpGet(endpoint, target);
    if (!response || response->status != 200)
        return {};
    boost::system::error_code ec;
    boost::json::value value = boost::json::parse(response->body, ec);
    if (ec || !value.is_object())
        return {};
    return std::move(value.as_object());
}

std::int64_t numberOf(const boost::json::object &object, const std::string &name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

} // namespace snipestall::harness
