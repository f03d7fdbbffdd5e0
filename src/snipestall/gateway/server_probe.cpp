#include "snipestall/gateway/server_probe.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <chrono>

namespace snipestall::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using wire::Task;

namespace {

/// A server of the same region accepts or refuses a connection within a few round trips.
constexpr milliseconds ConnectTimeout { 400 };
/// Pause before each probe. A process that ends may close its connections some tens of milliseconds
/// before its listener, so the first probe may still be accepted.
constexpr std::array<milliseconds, 2> Pauses { milliseconds(0), milliseconds(100) };

Task<boost::system::error_code> connectTo(asio::io_context &io, wire::Endpoint address,
                                          milliseconds timeout)
{
    boost::beast::tcp_stream stream(io);
    boost::system::error_code bad;
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(address.host, bad), address.port);
    stream.expires_after(timeout);
    const auto [error] = co_await stream.async_connect(remote, asio::as_tuple(asio::use_awaitable));
    co_return error;
}

/// Returns true only if the connection is refused. A missing answer may also be due to a partition.
Task<bool> refusesConnections(asio::io_context &io, wire::Endpoint address)
{
    const auto error = co_await connectTo(io, std::move(address), ConnectTimeout);
    co_return error == asio::error::connection_refused;
}

} // namespace

Task<bool> acceptsConnections(asio::io_context &io, wire::Endpoint address, milliseconds timeout)
{
    const auto error = co_await connectTo(io, std::move(address), timeout);
    co_return !error;
}

Task<void> probeServerEnd(GatewayState &state, serving::ServerStatePtr server)
{
    for (const milliseconds pause : Pauses) {
        if (pause.count() > 0)
            co_await wire::sleepFor(pause);
        if (co_await refusesConnections(state.io, server->info.address)) {
            logEvent(events::ServerEnded, { { "server", server->info.id } });
            state.crashes.connectionRefused(server->key, state.clock.steadyNow());
            co_return;
        }
        state.crashes.foundRunning(server->key);
    }
}

} // namespace snipestall::gateway
