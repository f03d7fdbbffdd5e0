#include "proxy/proxy.hpp"

#include "common/json_fields.hpp"
#include "proxy/session.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace snipestall::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using wire::HttpRequest;
using wire::HttpResponse;

namespace {

tcp::endpoint toTcp(const wire::Endpoint &endpoint)
{
    return { asio::ip::make_address(endpoint.host), endpoint.port };
}

} // namespace

Proxy::Proxy(asio::io_context &io)
    : m_io(io)
    , m_acceptor(io)
    , m_faults(io)
{ }

Result<std::unique_ptr<Proxy>> Proxy::create(asio::io_context &io, const wire::Endpoint &listen,
                                             const wire::Endpoint &target)
{
    std::unique_ptr<Proxy> proxy(new Proxy(io));
    proxy->m_target = toTcp(target);
    const tcp::endpoint local = toTcp(listen);
    boost::system::error_code ec;
    proxy->m_acceptor.open(local.protocol(), ec);
    proxy->m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    proxy->m_acceptor.bind(local, ec);
    if (!ec)
        proxy->m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return fail(ErrorKind::Unavailable,
                    "can't listen on " + listen.toString() + ": " + ec.message()
                        + "; choose another port");
    return proxy;
}

wire::Endpoint Proxy::endpoint() const
{
    const auto local = m_acceptor.local_endpoint();
    return { local.address().to_string(), local.port() };
}

wire::Task<void> Proxy::acceptAll()
{
    while (true) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec || m_faults.refuses())
            continue;
        m_faults.countConnection();
        std::erase_if(m_sessions, [](const auto &session) { return session.expired(); });
        const auto session = std::make_shared<Session>(m_faults, std::move(socket));
        m_sessions.push_back(session);
        asio::co_spawn(m_io, session->run(m_target), asio::detached);
    }
}

std::span<const Route<Proxy>> Proxy::routes()
{
    static constexpr std::array<Route<Proxy>, 2> All { {
        { "POST", "/faults", &Proxy::changeFaults },
        { "GET", "/counters", &Proxy::counters },
    } };
    return All;
}

wire::Task<void> Proxy::serve(wire::HttpExchange &exchange)
{
    return serveRoute(*this, routes(), exchange);
}

HttpResponse Proxy::changeFaults(const HttpRequest &request)
{
    const auto body = parseObject(request.body);
    if (body.contains("target")) {
        const auto target = wire::Endpoint::parse(textField(body, "target"));
        if (!target)
            throw std::invalid_argument("'target' must be IP:PORT");
        m_target = toTcp(*target);
    }
    m_faults.change(body);
    if (flagField(body, "cut_all"))
        cutAll();
    return noContent();
}

HttpResponse Proxy::counters(const HttpRequest &)
{
    const auto open = std::count_if(m_sessions.begin(), m_sessions.end(),
                                    [](const auto &session) { return !session.expired(); });
    auto answer = m_faults.counters();
    answer["open"] = open;
    return HttpResponse::json(200, boost::json::serialize(answer));
}

void Proxy::cutAll()
{
    for (const auto &weak : m_sessions) {
        if (const auto session = weak.lock())
            session->close();
    }
    m_sessions.clear();
}

} // namespace snipestall::standins
