#include "snipestall/gateway/exchange_transport.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/call_end.hpp"

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
    Service(asio::io_context &io, ExchangeServer::Handlers handlers)
        : m_io(io)
        , m_handlers(std::move(handlers))
    { }

    /// The loop may have ended, so calls that wait for it are ended here.
    void close() { m_calls->close(); }

    grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *context,
                                       const v1::LoadReport *request,
                                       v1::LoadReport *reply) override
    {
        return answerOnLoop(context, m_handlers.report, request, reply);
    }

    grpc::ServerUnaryReactor *FetchChanges(grpc::CallbackServerContext *context,
                                           const v1::ChangesRequest *request,
                                           v1::ChangesAnswer *answer) override
    {
        return answerOnLoop(context, m_handlers.changes, request, answer);
    }

    grpc::ServerUnaryReactor *FindStream(grpc::CallbackServerContext *context,
                                         const v1::StreamQuery *query,
                                         v1::StreamAnswer *answer) override
    {
        return answerOnLoop(context, m_handlers.streams, query, answer);
    }

private:
    template<typename Handler, typename Request, typename Answer>
    grpc::ServerUnaryReactor *answerOnLoop(grpc::CallbackServerContext *context,
                                           const Handler &handler, const Request *request,
                                           Answer *answer)
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (!m_calls->add(reactor)) {
            reactor->Finish(grpc::Status::CANCELLED);
            return reactor;
        }
        // The request and the answer exist until the call is finished, and this service until
        // close() has removed the call.
        asio::post(m_io, [&handler, calls = m_calls, context, request, answer, reactor] {
            if (!calls->remove(reactor))
                return;
            const bool awaited = !context->IsCancelled();
            grpc::Status status = awaited ? grpc::Status::OK : grpc::Status::CANCELLED;
            try {
                handler(*request, awaited ? answer : nullptr);
            } catch (const std::exception &error) {
                logEvent(events::UnexpectedException,
                         { { "task", "peer-call" }, { "error", error.what() } });
                status = grpc::Status(grpc::StatusCode::INTERNAL, "the call failed");
            }
            reactor->Finish(status);
        });
        return reactor;
    }

    asio::io_context &m_io;
    ExchangeServer::Handlers m_handlers;
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

template<typename Request, typename Answer>
struct Call
{
    grpc::ClientContext context;
    Request request;
    Answer answer;
};

} // namespace

struct ExchangeServer::State
{
    State(asio::io_context &io, Handlers handlers)
        : service(io, std::move(handlers))
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
ExchangeServer::create(asio::io_context &io, const std::string &address, Handlers handlers)
{
    auto state = std::make_unique<State>(io, std::move(handlers));
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

namespace {

/// Makes a call of the service. `start` is the asynchronous method of the stub.
template<typename Start, typename Request, typename Answer>
void makeCall(asio::io_context &io, std::chrono::milliseconds timeout, const Request &request,
              ExchangeChannel::Done<Answer> done, const Start &start)
{
    auto call = std::make_shared<Call<Request, Answer>>();
    call->request = request;
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    const auto end = std::make_shared<CallEnd<Answer>>(io, std::move(done),
                                                       [call] { call->context.TryCancel(); });
    end->startDeadline(timeout);
    start(*call, [&io, call, end](const grpc::Status &status) {
        asio::post(io, [call, end, status] {
            if (status.ok())
                end->end(&call->answer);
            else
                end->end(tl::unexpected<Error>(errorOf(status)));
        });
    });
}

} // namespace

void ExchangeChannel::send(const v1::LoadReport &report, std::chrono::milliseconds timeout,
                           Done<v1::LoadReport> done)
{
    makeCall(m_state->io, timeout, report, std::move(done),
             [state = m_state](auto &call, auto ended) {
                 state->stub->async()->Exchange(
                     &call.context, &call.request, &call.answer,
                     [state, ended = std::move(ended)](const grpc::Status &s) { ended(s); });
             });
}

void ExchangeChannel::fetch(const v1::ChangesRequest &request, std::chrono::milliseconds timeout,
                            Done<v1::ChangesAnswer> done)
{
    makeCall(m_state->io, timeout, request, std::move(done),
             [state = m_state](auto &call, auto ended) {
                 state->stub->async()->FetchChanges(
                     &call.context, &call.request, &call.answer,
                     [state, ended = std::move(ended)](const grpc::Status &s) { ended(s); });
             });
}

void ExchangeChannel::find(const v1::StreamQuery &query, std::chrono::milliseconds timeout,
                           Done<v1::StreamAnswer> done)
{
    makeCall(m_state->io, timeout, query, std::move(done),
             [state = m_state](auto &call, auto ended) {
                 state->stub->async()->FindStream(
                     &call.context, &call.request, &call.answer,
                     [state, ended = std::move(ended)](const grpc::Status &s) { ended(s); });
             });
}

} // namespace snipestall::gateway
