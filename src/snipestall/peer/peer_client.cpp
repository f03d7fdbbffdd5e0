#include "snipestall/peer/peer_client.hpp"

#include "snipestall/peer/forward_call.hpp"
#include "snipestall/wire/signal.hpp"

#include "peer.grpc.pb.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <grpcpp/grpcpp.h>

#include <deque>
#include <utility>

namespace snipestall::peer {

namespace asio = boost::asio;
using wire::Task;

namespace {

constexpr int MaxMessageBytes = 64 * 1024 * 1024;
/// A peer that is available again must be reached within one or two heartbeats, not after gRPC's
/// default backoff of up to two minutes.
constexpr int MaxReconnectBackoffMs = 1000;
constexpr int MinReconnectBackoffMs = 100;

tl::unexpected<Error> peerCallFailed(const grpc::Status &status)
{
    return fail(ErrorKind::OutcomeUnknown,
                "call to peer failed: " + status.error_message()
                    + "; whether the peer received it is unknown");
}

template<typename Reply>
struct UnaryCall
{
    grpc::ClientContext context;
    Reply reply;
    grpc::Status status;
};

} // namespace

struct PeerClient::State
{
    State(asio::io_context &context, const std::string &address)
        : io(context)
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
        channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
        stub = v1::Peer::NewStub(channel);
    }

    asio::io_context &io;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<v1::Peer::Stub> stub;
};

namespace {

/// Starts a unary call and resumes on the event loop's thread when it has ended.
template<typename State, typename Request, typename Reply, typename Start>
Task<Result<Reply>> callUnary(std::shared_ptr<State> state, Request request,
                              std::chrono::milliseconds timeout, Start start, Reply *)
{
    auto call = std::make_shared<UnaryCall<Reply>>();
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    auto initiate = [&](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start(state->stub->async(), &call->context, &request, &call->reply,
              [state, call, shared](const grpc::Status &status) {
                  call->status = status;
                  asio::post(state->io, [shared] { std::move (*shared)(); });
              });
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(initiate,
                                                                         asio::use_awaitable);
    if (!call->status.ok())
        co_return peerCallFailed(call->status);
    co_return std::move(call->reply);
}

/// One client stream. It keeps itself alive until gRPC has called OnDone().
class StreamState final : public grpc::ClientReadReactor<v1::ForwardEvent>,
                          public std::enable_shared_from_this<StreamState>
{
public:
    explicit StreamState(asio::io_context &io)
        : m_io(io)
        , m_signal(io.get_executor())
    { }

    [[nodiscard]] grpc::ClientContext &context() { return m_context; }

    void begin()
    {
        m_self = shared_from_this();
        // The next read is started on the event loop's thread. Without the hold gRPC could end the
        // call between two reads, and the second read would access a call that has ended.
        AddHold();
        StartRead(&m_nextEvent);
        StartCall();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            RemoveHold();
            return;
        }
        asio::post(m_io, [this, self = shared_from_this()] {
            m_events.push_back(std::move(m_nextEvent));
            m_nextEvent = {};
            m_signal.notifyAll();
            StartRead(&m_nextEvent);
        });
    }

    void OnDone(const grpc::Status &status) override
    {
        asio::post(m_io, [this, status] {
            m_done = true;
            m_status = status;
            m_signal.notifyAll();
            m_self.reset();
        });
    }

    Task<Result<std::optional<v1::ForwardEvent>>> read()
    {
        const auto self = shared_from_this();
        while (m_events.empty() && !m_done)
            co_await m_signal.wait();
        if (!m_events.empty()) {
            std::optional<v1::ForwardEvent> event(std::move(m_events.front()));
            m_events.pop_front();
            co_return event;
        }
        if (!m_status.ok())
            co_return peerCallFailed(m_status);
        co_return std::optional<v1::ForwardEvent>();
    }

private:
    asio::io_context &m_io;
    wire::Signal m_signal;
    grpc::ClientContext m_context;
    v1::ForwardEvent m_nextEvent;
    std::deque<v1::ForwardEvent> m_events;
    grpc::Status m_status;
    bool m_done = false;
    std::shared_ptr<StreamState> m_self;
};

class StreamCall final : public ForwardCall
{
public:
    explicit StreamCall(std::shared_ptr<StreamState> state)
        : m_state(std::move(state))
    { }

    ~StreamCall() override { m_state->context().TryCancel(); }

    Task<Result<std::optional<v1::ForwardEvent>>> read() override { return m_state->read(); }
    void cancel() override { m_state->context().TryCancel(); }

private:
    std::shared_ptr<StreamState> m_state;
};

} // namespace

PeerClient::PeerClient(asio::io_context &io, const std::string &address)
    : m_state(std::make_shared<State>(io, address))
{ }

PeerClient::~PeerClient() = default;

Task<Result<v1::HeartbeatReply>> PeerClient::heartbeat(v1::HeartbeatRequest request,
                                                       std::chrono::milliseconds timeout)
{
    auto start = [](auto *async, auto... arguments) { async->Heartbeat(arguments...); };
    return callUnary(m_state, std::move(request), timeout, start,
                     static_cast<v1::HeartbeatReply *>(nullptr));
}

Task<Result<v1::HoldReply>> PeerClient::hold(v1::HoldRequest request,
                                             std::chrono::milliseconds timeout)
{
    auto start = [](auto *async, auto... arguments) { async->Hold(arguments...); };
    return callUnary(m_state, std::move(request), timeout, start,
                     static_cast<v1::HoldReply *>(nullptr));
}

Task<Result<v1::TrialReply>> PeerClient::trial(v1::TrialRequest request,
                                               std::chrono::milliseconds timeout)
{
    auto start = [](auto *async, auto... arguments) { async->Trial(arguments...); };
    return callUnary(m_state, std::move(request), timeout, start,
                     static_cast<v1::TrialReply *>(nullptr));
}

Task<Result<v1::HandoverReply>> PeerClient::handover(v1::HandoverRequest request,
                                                     std::chrono::milliseconds timeout)
{
    auto start = [](auto *async, auto... arguments) { async->Handover(arguments...); };
    return callUnary(m_state, std::move(request), timeout, start,
                     static_cast<v1::HandoverReply *>(nullptr));
}

Task<Result<v1::SettingsDocument>> PeerClient::fetchSettings(v1::FetchSettingsRequest request,
                                                             std::chrono::milliseconds timeout)
{
    auto start = [](auto *async, auto... arguments) { async->FetchSettings(arguments...); };
    return callUnary(m_state, std::move(request), timeout, start,
                     static_cast<v1::SettingsDocument *>(nullptr));
}

std::unique_ptr<ForwardCall> PeerClient::forward(const v1::ForwardRequest &request,
                                                 std::chrono::milliseconds timeout)
{
    auto stream = std::make_shared<StreamState>(m_state->io);
    stream->context().set_deadline(std::chrono::system_clock::now() + timeout);
    m_state->stub->async()->Forward(&stream->context(), &request, stream.get());
    stream->begin();
    return std::make_unique<StreamCall>(std::move(stream));
}

std::unique_ptr<ForwardCall> PeerClient::findRequest(const v1::FindRequestRequest &request,
                                                     std::chrono::milliseconds timeout)
{
    auto stream = std::make_shared<StreamState>(m_state->io);
    stream->context().set_deadline(std::chrono::system_clock::now() + timeout);
    m_state->stub->async()->FindRequest(&stream->context(), &request, stream.get());
    stream->begin();
    return std::make_unique<StreamCall>(std::move(stream));
}

} // namespace snipestall::peer
