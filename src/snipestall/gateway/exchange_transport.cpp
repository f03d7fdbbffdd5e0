#include "snipestall/gateway/exchange_transport.hpp"

#include "exchange.grpc.pb.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <memory>
#include <mutex>
#include <set>
#include <utility>

namespace snipestall::gateway {

namespace asio = boost::asio;
namespace v1 = exchange::v1;

namespace {

/// A peer that has restarted is reached within two intervals instead of after gRPC's default of
/// minutes.
constexpr int ReconnectBackoffMs = 400;
/// A connection that no longer responds is replaced after the sum of these two times.
constexpr int KeepAliveIntervalMs = 1000;
constexpr int KeepAliveTimeoutMs = 700;

/// The calls of peers that have arrived and not been answered yet. They arrive on threads of gRPC
/// and are answered on the loop.
class OpenCalls
{
public:
    /// Returns false if no more calls are taken.
    bool add(grpc::ServerUnaryReactor *call)
    {
        const std::scoped_lock lock(m_mutex);
        return !m_closed && m_calls.insert(call).second;
    }
    /// Returns whether the call is still to be answered.
    bool remove(grpc::ServerUnaryReactor *call)
    {
        const std::scoped_lock lock(m_mutex);
        return m_calls.erase(call) > 0;
    }
    /// Ends all calls, and those that arrive from now on.
    void close()
    {
        const std::scoped_lock lock(m_mutex);
        m_closed = true;
        for (grpc::ServerUnaryReactor *call : m_calls)
            call->Finish(grpc::Status::CANCELLED);
        m_calls.clear();
    }

private:
    std::mutex m_mutex;
    std::set<grpc::ServerUnaryReactor *> m_calls;
    bool m_closed = false;
};

class Service final : public v1::LoadExchange::CallbackService
{
public:
    Service(asio::io_context &io, ExchangeServer::Handler handler)
        : m_io(io)
        , m_handler(std::move(handler))
    { }

    /// The loop may have ended, so calls that wait for it are ended here.
    void close() { m_calls->close(); }

    grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *context,
                                       const v1::LoadReport *request,
                                       v1::LoadReport *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (!m_calls->add(reactor)) {
            reactor->Finish(grpc::Status::CANCELLED);
            return reactor;
        }
        // The request and the reply exist until the call is finished, and this service until
        // close() has removed the call.
        asio::post(m_io, [this, calls = m_calls, context, request, reply, reactor] {
            if (!calls->remove(reactor))
                return;
            const bool awaited = !context->IsCancelled();
            m_handler(*request, awaited ? reply : nullptr);
            reactor->Finish(awaited ? grpc::Status::OK : grpc::Status::CANCELLED);
        });
        return reactor;
    }

private:
    asio::io_context &m_io;
    ExchangeServer::Handler m_handler;
    std::shared_ptr<OpenCalls> m_calls = std::make_shared<OpenCalls>();
};

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepAliveIntervalMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepAliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return arguments;
}

Error errorOf(const grpc::Status &status)
{
    const bool late = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    return { late ? ErrorKind::DeadlineExceeded : ErrorKind::Unavailable,
             status.error_message() + "; check that the peer is up and can be reached" };
}

struct Call
{
    grpc::ClientContext context;
    v1::LoadReport request;
    v1::LoadReport reply;
};

} // namespace

struct ExchangeServer::State
{
    State(asio::io_context &io, Handler handler)
        : service(io, std::move(handler))
    { }

    Service service;
    std::unique_ptr<grpc::Server> server;
};

ExchangeServer::ExchangeServer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{ }

ExchangeServer::~ExchangeServer()
{
    m_state->service.close();
    m_state->server->Shutdown(std::chrono::system_clock::now());
}

Result<std::unique_ptr<ExchangeServer>>
ExchangeServer::create(asio::io_context &io, const std::string &address, Handler handler)
{
    auto state = std::make_unique<State>(io, std::move(handler));
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    // Peers send keep-alive pings on idle connections often. Without this setting gRPC would close
    // the connections because of too many pings.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               KeepAliveIntervalMs / 2);
    builder.RegisterService(&state->service);
    state->server = builder.BuildAndStart();
    if (!state->server || port == 0)
        return fail(ErrorKind::Unavailable,
                    "can't listen for peers on " + address + "; free the port");
    return std::unique_ptr<ExchangeServer>(new ExchangeServer(std::move(state)));
}

struct ExchangeChannel::State
{
    State(asio::io_context &loop, const std::string &address)
        : io(loop)
        , channel(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(),
                                            channelArguments()))
        , stub(v1::LoadExchange::NewStub(channel))
    { }

    asio::io_context &io;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<v1::LoadExchange::Stub> stub;
};

ExchangeChannel::ExchangeChannel(asio::io_context &io, const std::string &address)
    : m_state(std::make_shared<State>(io, address))
{ }

ExchangeChannel::~ExchangeChannel() = default;

void ExchangeChannel::send(const v1::LoadReport &report, std::chrono::milliseconds timeout,
                           Done done)
{
    auto call = std::make_shared<Call>();
    call->request = report;
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    m_state->stub->async()->Exchange(
        &call->context, &call->request, &call->reply,
        [state = m_state, call, done = std::move(done)](const grpc::Status &status) {
            asio::post(state->io, [call, done, status] {
                if (status.ok())
                    done(&call->reply);
                else
                    done(tl::unexpected<Error>(errorOf(status)));
            });
        });
}

} // namespace snipestall::gateway
