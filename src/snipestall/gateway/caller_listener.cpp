#include "snipestall/gateway/caller_listener.hpp"

#include "platform/caller_header.hpp"
#include "platform/server_header.hpp"
#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/caller_connection.hpp"
#include "snipestall/gateway/connection_registry.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/request_relay.hpp"
#include "snipestall/serving/return_time.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/socket_options.hpp"
#include "snipestall/wire/spawn.hpp"

#include <boost/asio/as_tuple.hpp>
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

/// Time that a new connection has for the first bytes of its first request before it counts as
/// idle. Callers that connect during a shutdown send their request at once.
constexpr std::chrono::milliseconds FirstRequestTime { 1000 };

/// Header fields that instances add to a forwarded request.
constexpr std::uint32_t ForwardHeaderBytes = 1024;
/// Longer than other instances keep idle connections, so that none is closed while it is used.
constexpr std::chrono::milliseconds ForwardIdleTimeout { 60000 };

/// Time in which the memory that others hold is released: their requests end, or stall and are
/// given up.
constexpr std::chrono::milliseconds RetryAfterNoMemory { 500 };

struct ReadFault
{
    RequestRead read;
    unsigned status;
    const char *reason;
};

constexpr std::array<ReadFault, 6> ReadFaults { {
    { RequestRead::Malformed, 400, "unreadable" },
    { RequestRead::HeaderTooLarge, 431, "unreadable" },
    { RequestRead::BodyTooLarge, 413, "unreadable" },
    { RequestRead::HeaderTimeout, 408, "unreadable" },
    { RequestRead::Stopped, 503, "shutting-down" },
    { RequestRead::NoMemory, 503, "no-memory" },
} };

const ReadFault &faultOf(RequestRead read)
{
    return *std::ranges::find(ReadFaults, read, &ReadFault::read);
}

CallerConnection::Answer faultAnswer(const ReadFault &fault)
{
    CallerConnection::Answer answer;
    answer.version(11);
    answer.result(fault.status);
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
    wire::limitUnreadBytes(acceptor);
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
    wire::spawnLoop(
        m_state.io, [this] { return accept(); }, "accept");
}

std::size_t CallerListener::connectionLimit() const
{
    const std::size_t descriptors = m_state.settings.fileDescriptors;
    return descriptors > 2 * ReservedDescriptors ? descriptors - ReservedDescriptors
                                                 : descriptors / 2;
}

Task<void> CallerListener::accept()
{
    while (!m_stopped) {
        if (m_state.connections->size() >= connectionLimit()) {
            // Without a free descriptor, no request could be sent to a backend server either. And
            // connections that wait to be accepted are not left waiting behind those that hold a
            // descriptor for nothing.
            m_state.connections->giveUpForOthers();
            co_await wire::sleepFor(AcceptPause);
            continue;
        }
        auto [error, socket] = co_await m_acceptor.async_accept(UseTuple);
        if (error) {
            co_await wire::sleepFor(AcceptPause);
            continue;
        }
        take(std::move(socket));
    }
}

void CallerListener::take(tcp::socket socket)
{
    auto connection = std::make_shared<CallerConnection>(std::move(socket), m_state.connections);
    m_connections.emplace(connection, Served { nullptr, m_state.clock.steadyNow(), false });
    wire::spawn(m_state.io, serve(std::move(connection)), "caller");
}

// The kernel resets the connections that wait to be accepted when the listening socket closes.
void CallerListener::stopAccepting()
{
    m_stopped = true;
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error || error == asio::error::connection_aborted) {
        tcp::socket socket(m_state.io);
        m_acceptor.accept(socket, error);
        if (!error)
            take(std::move(socket));
    }
    m_acceptor.close(error);
}

Task<void> CallerListener::serve(std::shared_ptr<CallerConnection> connection)
{
    try {
        co_await serveRequests(*connection, connection);
    } catch (const std::exception &error) {
        logEvent(events::UnexpectedException, { { "task", "caller" }, { "error", error.what() } });
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
        limits.keptAtLeast = ForwardIdleTimeout;
    }
    return limits;
}

Task<void> CallerListener::serveRequests(CallerConnection &connection,
                                         std::shared_ptr<CallerConnection> shared)
{
    const CallerConnection::Limits limitsInForce = [this] { return limits(); };
    const CallerConnection::HeadCheck check =
        [this](const CallerConnection::Request::header_type &head) { return checkHead(head); };
    while (true) {
        const RequestRead read = co_await connection.readRequest(limitsInForce, check);
        if (read == RequestRead::Closed)
            co_return;
        if (read != RequestRead::Ok) {
            if (co_await refuse(connection, read))
                co_await connection.awaitClose();
            co_return;
        }
        ++m_state.loopWork.requestsRead;
        RequestRelay relay(m_state, shared, m_origin);
        Served &served = m_connections[shared];
        served.relay = &relay;
        served.hasCarriedRequest = true;
        const bool keepOpen = co_await relay.run();
        served.relay = nullptr;
        connection.dropRequest();
        if (!keepOpen) {
            co_await connection.awaitClose();
            co_return;
        }
    }
}

BodyTerms CallerListener::checkHead(const CallerConnection::Request::header_type &head) const
{
    const platform::CallerHeader header = platform::readCallerHeader(head);
    const std::chrono::milliseconds longest = m_state.settings.bodyTime;
    BodyTerms terms;
    terms.time = std::min(header.deadline.value_or(longest), longest);
    // Another instance has checked what it forwards, by its own configuration.
    if (m_origin == RequestOrigin::Caller && m_state.catalogue)
        terms.refusal = matchHead(*m_state.catalogue, header, head).refusal;
    return terms;
}

Task<bool> CallerListener::refuse(CallerConnection &connection, RequestRead read)
{
    const ReadFault fault = read == RequestRead::Refused
        ? ReadFault { read, connection.refusal().status, connection.refusal().reason }
        : faultOf(read);
    m_state.counters.refused += read == RequestRead::Refused ? 1 : 0;
    const std::string attempt = platform::readCallerHeader(connection.request()).attemptId;
    CallerConnection::Answer answer = faultAnswer(fault);
    platform::setAttemptId(attempt, answer);
    std::chrono::milliseconds retryAfter = RetryAfterShutdown;
    if (read == RequestRead::NoMemory) {
        ++m_state.counters.memoryRefused;
        retryAfter = serving::returnTimeAfter(RetryAfterNoMemory, m_state.random.uniform());
    }
    if (answer.result() == http::status::service_unavailable)
        answer.set(http::field::retry_after, retryAfterText(retryAfter));
    logEvent(events::GatewayRequestEnded,
             { { "attempt", attempt },
               { "status", std::to_string(fault.status) },
               { "reason", fault.reason },
               { "held_bytes", std::to_string(m_state.connections->held()) } });
    co_return co_await connection.write(std::move(answer));
}

void CallerListener::closeIdle()
{
    const SteadyTime now = m_state.clock.steadyNow();
    for (const auto &[connection, served] : m_connections) {
        const bool isNew = !served.hasCarriedRequest && now - served.acceptedAt < FirstRequestTime;
        if (connection->idle() && !isNew)
            connection->cancelIdleWait();
    }
}

void CallerListener::stopReading()
{
    for (const auto &[connection, served] : m_connections)
        connection->stopReading();
}

void CallerListener::recordRunning() const
{
    for (const auto &[connection, served] : m_connections) {
        if (served.relay != nullptr)
            served.relay->recordRunning();
    }
}

void CallerListener::cancelRequests()
{
    for (const auto &[connection, served] : m_connections) {
        if (served.relay != nullptr)
            served.relay->cancel();
    }
}

void CallerListener::logUnanswered() const
{
    for (const auto &[connection, served] : m_connections) {
        if (served.relay != nullptr)
            served.relay->logUnanswered();
    }
}

} // namespace snipestall::gateway
