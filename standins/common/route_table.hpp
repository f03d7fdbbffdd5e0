#pragma once

#include "snipestall/wire/http_exchange.hpp"

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace snipestall::standins {

/// One line of a table of routes: a plain call or one that streams, waits or cuts.
template<typename Owner>
struct Route
{
    using Call = wire::HttpResponse (Owner::*)(const wire::HttpRequest &);
    using Conversation = wire::Task<void> (Owner::*)(wire::HttpExchange &);

    /// Empty: any method.
    std::string_view method;
    /// A path that ends in '/' takes everything below it.
    std::string_view path;
    Call call = nullptr;
    Conversation conversation = nullptr;

    [[nodiscard]] bool matches(const wire::HttpRequest &request) const
    {
        const std::string_view asked = request.path();
        const bool below = path.ends_with('/') && asked.starts_with(path);
        return (method.empty() || method == request.method) && (below || asked == path);
    }
};

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

/// Serves one exchange by the first route that matches; 404 without one, 400 for a bad body.
template<typename Owner>
wire::Task<void> serveRoute(Owner &owner, std::span<const Route<Owner>> routes,
                            wire::HttpExchange &exchange)
{
    const Route<Owner> *found = nullptr;
    for (const auto &route : routes) {
        if (found == nullptr && route.matches(exchange.request()))
            found = &route;
    }
    wire::HttpResponse response = errorResponse(404, "no such call");
    try {
        if (found != nullptr && found->conversation != nullptr) {
            co_await (owner.*found->conversation)(exchange);
            co_return;
        }
        if (found != nullptr)
            response = (owner.*found->call)(exchange.request());
    } catch (const std::invalid_argument &fault) {
        response = errorResponse(400, fault.what());
    }
    co_await exchange.respond(std::move(response));
}

} // namespace snipestall::standins
