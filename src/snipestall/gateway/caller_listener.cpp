#include "snipestall/gateway/caller_listener.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/caller_connection.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/request_relay.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>
#include <vector>

namespace snipestall::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using wire::Task;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// File descriptors reserved for files, peers, the store and backend servers.
constexpr std::size_t ReservedDescriptors = 700;
/// Pause of the accept loop when no descriptors are left.
constexpr std::chrono::milliseconds AcceptPause { 20 };

/// Header fields that instances add to a forwarded request.
constexpr std::uint32_t ForwardHeaderBytes = 1024;
/// Longer than other instances keep idle connections, so that none is closed while it is used.
constexpr std::chrono::milliseconds ForwardIdleTimeout { 60000 };

struct ReadFault
{
    RequestRead read;
    unsigned status;
};

constexpr std::array<ReadFault, 4> ReadFaults { {
    { RequestRead::Malformed, 400 },
    { RequestRead::HeaderTooLarge, 431 },
    { RequestRead::BodyTooLarge, 413 },
    { RequestRead::HeaderTimeout, 408 },
} };

CallerConnection::Answer faultAnswer(RequestRead read)
{
    CallerConnection::Answer answer;
    answer.version(11);
    for (const ReadFault &fault : ReadFaults) {
        if (fault.read == read)
            answer.result(fault.status);
    }
    answer.keep_alive(false);
    answer.prepare_payload();
    return answer;
}

} // namespace

CallerListener::CallerListener(GatewayState &state, tcp::acceptor acceptor, RequestOrigin origin)
    : m_state(state)
    , m_acceptor(std::move(acceptor))
    , m_origin(origin)
{ }

Result<std::unique_ptr<CallerListener>>
CallerListener::create(GatewayState &state, const wire::Endpoint &address, RequestOrigin origin)
{
    boost::system::error_code error;
    const tcp::endpoint local(asio::ip::make_address(address.host, error), address.port);
    tcp::acceptor acceptor(state.io);
    if (!error)
        acceptor.open(local.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(local, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return fail(ErrorKind::Unavailable,
                    "can't listen on " + address.toString() + ": " + error.message()
                        + "; free the address");
    return std::unique_ptr<CallerListener>(new CallerListener(state, std::move(acceptor), origin));
}

void CallerListener::start()
{
    asio::co_spawn(m_state.io, accept(), asio::detached);
}

Task<void> CallerListener::accept()
{
    const std::size_t connectionLimit = m_state.settings.fileDescriptors > 2 * ReservedDescriptors
        ? m_state.settings.fileDescriptors - ReservedDescriptors
        : m_state.settings.fileDescriptors / 2;
    while (true) {
        if (m_connections.size() >= connectionLimit) {
            // Without a free descriptor, no request could be sent to a backend server either.
            closeIdle();
            co_await wire::sleepFor(AcceptPause);
        }
        auto [error, socket] = co_await m_acceptor.async_accept(UseTuple);
        if (error) {
            co_await wire::sleepFor(AcceptPause);
            continue;
        }
        auto connection = std::make_shared<CallerConnection>(std::move(socket));
        m_connections.emplace(connection, nullptr);
        asio::co_spawn(m_state.io, serve(std::move(connection)), asio::detached);
    }
}

Task<void> CallerListener::serve(std::shared_ptr<CallerConnection> connection)
{
    try {
        co_await serveRequests(*connection, connection);
    } catch (const std::exception &error) {
        logEvent(events::UnexpectedException, { { "error", error.what() } });
    }
    connection->close();
    m_connections.erase(connection);
}

serving::TrafficLimits CallerListener::limits() const
{
    serving::TrafficLimits limits =
        m_state.catalogue ? m_state.catalogue->limits() : serving::TrafficLimits {};
    if (m_origin == RequestOrigin::Instance) {
        limits.maxHeaderBytes += ForwardHeaderBytes;
        limits.idleTimeout = std::max(limits.idleTimeout, ForwardIdleTimeout);
    }
    return limits;
}

Task<void> CallerListener::serveRequests(CallerConnection &connection,
                                         std::shared_ptr<CallerConnection> shared)
{
    const CallerConnection::Limits limitsInForce = [this] { return limits(); };
    while (true) {
        const RequestRead read = co_await connection.readRequest(limitsInForce);
        if (read == RequestRead::Closed)
            co_return;
        if (read != RequestRead::Ok) {
            CallerConnection::Answer answer = faultAnswer(read);
            logEvent(events::GatewayRequestEnded,
                     { { "attempt", "" },
                       { "status", std::to_string(answer.result_int()) },
                       { "reason", "unreadable" } });
            if (co_await connection.write(std::move(answer)))
                co_await connection.awaitClose();
            co_return;
        }
        ++m_state.loopWork.requestsRead;
        RequestRelay relay(m_state, shared, m_origin);
        m_connections[shared] = &relay;
        const bool keepOpen = co_await relay.run();
        m_connections[shared] = nullptr;
        if (!keepOpen) {
            co_await connection.awaitClose();
            co_return;
        }
    }
}

void CallerListener::closeIdle()
{
    for (const auto &[connection, relay] : m_connections) {
        if (connection->idle())
            connection->cancelIdleWait();
    }
}

void CallerListener::recordRunning() const
{
    for (const auto &[connection, relay] : m_connections) {
        if (relay != nullptr)
            relay->recordRunning();
    }
}

void CallerListener::cancelRequests()
{
    for (const auto &[connection, relay] : m_connections) {
        if (relay != nullptr)
            relay->cancel();
    }
}

void CallerListener::logUnanswered() const
{
    for (const auto &[connection, relay] : m_connections) {
        if (relay != nullptr)
            relay->logUnanswered();
    }
}

} // namespace snipestall::gateway
