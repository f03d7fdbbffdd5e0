#pragma once

#include "snipestall/wire/http_exchange.hpp"

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace snipestall::standins {

/// One entry of a route table. Exactly one handler is set: the asynchronous one is for calls that
/// stream, wait or cut the connection.
template<typename Owner>
struct Route
{
    using Handler = wire::HttpResponse (Owner::*)(const wire::HttpRequest &);
    using AsyncHandler = wire::Task<void> (Owner::*)(wire::HttpExchange &);

    /// Empty matches any method.
    std::string_view method;
    /// A path that ends in '/' also matches every path below it.
    std::string_view path;
    Handler handler = nullptr;
    AsyncHandler asyncHandler = nullptr;

    [[nodiscard]] bool matches(const wire::HttpRequest &request) const
    {
        const std::string_view requestPath = request.path();
        const bool below = path.ends_with('/') && requestPath.starts_with(path);
        return (method.empty() || method == request.method) && (below || requestPath == path);
    }
};

/// JSON error body; `message` is not escaped.
inline wire::HttpResponse errorResponse(int status, std::string_view message)
{
    const std::string text(message);
    return wire::HttpResponse::json(status, R"({"error":{"message":")" + text + "\"}}");
}

inline wire::HttpResponse noContent()
{
    wire::HttpResponse response;
    response.status = 204;
    return response;
}

/// Serves one exchange with the first matching route. Responds 404 if no route matches and 400 if
/// the handler throws std::invalid_argument.
template<typename Owner>
wire::Task<void> serveRoute(Owner &owner, std::span<const Route<Owner>> routes,
                            wire::HttpExchange &exchange)
{
    const Route<Owner> *found = nullptr;
    for (const auto &route : routes) {
        if (found == nullptr && route.matches(exchange.request()))
            found = &route;
    }
    wire::HttpResponse response = errorResponse(404, "no route matches the method and path");
    try {
        if (found != nullptr && found->asyncHandler != nullptr) {
            co_await (owner.*found->asyncHandler)(exchange);
            co_return;
        }
        if (found != nullptr)
            response = (owner.*found->handler)(exchange.request());
    } catch (const std::invalid_argument &fault) {
        response = errorResponse(400, fault.what());
    }
    co_await exchange.respond(std::move(response));
}

} // namespace snipestall::standins
