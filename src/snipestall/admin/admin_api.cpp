#include "snipestall/admin/admin_api.hpp"

#include "snipestall/wire/http_exchange.hpp"

#include "admin_routes.hpp"

#include <utility>

namespace snipestall::admin {
namespace {

constexpr std::size_t HexDigestLength = 64;

bool isSha256Hex(const std::string &text)
{
    return text.size() == HexDigestLength
        && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

Result<std::unique_ptr<AdminApi>> AdminApi::create(Dependencies dependencies)
{
    const bool isComplete = dependencies.store && dependencies.keeper && dependencies.status
        && dependencies.clock && dependencies.metrics && dependencies.drain;
    if (!isComplete)
        return fail(ErrorKind::InvalidArgument,
                    "a required dependency of the operators' API is not set");
    if (!dependencies.bootstrapKeyHash.empty() && !isSha256Hex(dependencies.bootstrapKeyHash))
        return fail(ErrorKind::InvalidArgument,
                    "the bootstrap key's hash must be 64 lower-case hex digits; create a key and "
                    "its hash with snipestallctl new-key");
    auto routes = std::make_unique<Routes>(std::move(dependencies));
    return std::unique_ptr<AdminApi>(new AdminApi(std::move(routes)));
}

AdminApi::AdminApi(std::unique_ptr<Routes> routes)
    : m_routes(std::move(routes))
{ }

AdminApi::~AdminApi() = default;

wire::HttpServer::Handler AdminApi::handler()
{
    return [routes = m_routes.get()](wire::HttpExchange &exchange) -> wire::Task<void> {
        wire::HttpResponse response = co_await routes->answer(exchange.request());
        co_await exchange.respond(std::move(response));
    };
}

} // namespace snipestall::admin
