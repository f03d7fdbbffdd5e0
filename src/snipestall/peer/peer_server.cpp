#include "snipestall/peer/peer_server.hpp"

#include "snipestall/peer/forward_sink.hpp"
#include "snipestall/peer/peer_handler.hpp"

#include "peer.grpc.pb.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include <deque>
#include <utility>

namespace snipestall::peer {

namespace asio = boost::asio;

namespace {

/// Limit of a peer's largest message, which is a batch of records with their bodies.
constexpr int MaxMessageBytes = 64 * 1024 * 1024;

/// One server stream. gRPC calls the On... methods on its own threads, so they only post to the
/// event loop.
class StreamReactor final : public grpc::ServerWriteReactor<v1::ForwardEvent>
{
public:
    explicit StreamReactor(asio::io_context &io)
        : m_io(io)
    { }

    void write(const v1::ForwardEvent &event)
    {
        if (m_closed)
            return;
        m_pending.push_back(event);
        writeNext();
    }

    void finish()
    {
        m_finishing = true;
        writeNext();
    }

    void onCancelled(std::function<void()> callback)
    {
        if (m_cancelled)
            callback();
        else
            m_onCancelled = std::move(callback);
    }

    void OnWriteDone(bool ok) override
    {
        asio::post(m_io, [this, ok] {
            m_writing = false;
            if (!ok)
                m_closed = true;
            writeNext();
        });
    }

    void OnCancel() override
    {
        asio::post(m_io, [this] {
            m_cancelled = true;
            m_closed = true;
            if (m_onCancelled)
                std::exchange(m_onCancelled, nullptr)();
            finish();
        });
    }

    void OnDone() override
    {
        asio::post(m_io, [this] {
            m_done = true;
            deleteIfUnused();
        });
    }

    /// Called when the sink is destroyed. The reactor is deleted when OnDone() has been called too.
    void sinkDestroyed()
    {
        m_isSinkDestroyed = true;
        m_onCancelled = nullptr;
        if (!m_finishing)
            finish();
        deleteIfUnused();
    }

private:
    void writeNext()
    {
        if (m_writing || m_finished)
            return;
        if (m_closed)
            m_pending.clear();
        if (!m_pending.empty()) {
            m_current = std::move(m_pending.front());
            m_pending.pop_front();
            m_writing = true;
            StartWrite(&m_current);
            return;
        }
        if (m_finishing) {
            m_finished = true;
            Finish(grpc::Status::OK);
        }
    }

    void deleteIfUnused()
    {
        if (m_done && m_isSinkDestroyed)
            delete this;
    }

    asio::io_context &m_io;
    std::deque<v1::ForwardEvent> m_pending;
    v1::ForwardEvent m_current;
    std::function<void()> m_onCancelled;
    bool m_writing = false;
    bool m_finishing = false;
    bool m_finished = false;
    bool m_closed = false;
    bool m_cancelled = false;
    bool m_done = false;
    bool m_isSinkDestroyed = false;
};

class ReactorSink final : public ForwardSink
{
public:
    explicit ReactorSink(StreamReactor *reactor)
        : m_reactor(reactor)
    { }

    ~ReactorSink() override { m_reactor->sinkDestroyed(); }

    void write(const v1::ForwardEvent &event) override { m_reactor->write(event); }
    void finish() override { m_reactor->finish(); }
    void onCancelled(std::function<void()> callback) override
    {
        m_reactor->onCancelled(std::move(callback));
    }

private:
    StreamReactor *m_reactor;
};

class Service final : public v1::Peer::CallbackService
{
public:
    Service(asio::io_context &io, PeerHandler &handler)
        : m_io(io)
        , m_handler(handler)
    { }

    grpc::ServerUnaryReactor *Heartbeat(grpc::CallbackServerContext *context,
                                        const v1::HeartbeatRequest *request,
                                        v1::HeartbeatReply *reply) override
    {
        return answer(context, request, reply, &PeerHandler::onHeartbeat);
    }

    grpc::ServerUnaryReactor *Hold(grpc::CallbackServerContext *context,
                                   const v1::HoldRequest *request, v1::HoldReply *reply) override
    {
        return answer(context, request, reply, &PeerHandler::onHold);
    }

    grpc::ServerUnaryReactor *Trial(grpc::CallbackServerContext *context,
                                    const v1::TrialRequest *request, v1::TrialReply *reply) override
    {
        return answer(context, request, reply, &PeerHandler::onTrial);
    }

    grpc::ServerUnaryReactor *Handover(grpc::CallbackServerContext *context,
                                       const v1::HandoverRequest *request,
                                       v1::HandoverReply *reply) override
    {
        return answer(context, request, reply, &PeerHandler::onHandover);
    }

    grpc::ServerUnaryReactor *FetchSettings(grpc::CallbackServerContext *context,
                                            const v1::FetchSettingsRequest *request,
                                            v1::SettingsDocument *reply) override
    {
        return answer(context, request, reply, &PeerHandler::onFetchSettings);
    }

    grpc::ServerWriteReactor<v1::ForwardEvent> *Forward(grpc::CallbackServerContext *,
                                                        const v1::ForwardRequest *request) override
    {
        return stream(request, &PeerHandler::onForward);
    }

    grpc::ServerWriteReactor<v1::ForwardEvent> *
    FindRequest(grpc::CallbackServerContext *, const v1::FindRequestRequest *request) override
    {
        return stream(request, &PeerHandler::onFindRequest);
    }

private:
    template<typename Request, typename Reply>
    grpc::ServerUnaryReactor *answer(grpc::CallbackServerContext *context, const Request *request,
                                     Reply *reply, Reply (PeerHandler::*method)(const Request &))
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        asio::post(m_io, [this, request, reply, method, reactor] {
            *reply = (m_handler.*method)(*request);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    template<typename Request>
    StreamReactor *stream(const Request *request,
                          void (PeerHandler::*method)(const Request &,
                                                      std::shared_ptr<ForwardSink>))
    {
        auto *reactor = new StreamReactor(m_io);
        // The request is copied because it is destroyed with the call, which may be cancelled
        // before the posted function runs.
        asio::post(m_io, [this, copy = *request, method, reactor] {
            (m_handler.*method)(copy, std::make_shared<ReactorSink>(reactor));
        });
        return reactor;
    }

    asio::io_context &m_io;
    PeerHandler &m_handler;
};

} // namespace

struct PeerServer::State
{
    State(asio::io_context &io, PeerHandler &handler)
        : service(io, handler)
    { }

    Service service;
    std::unique_ptr<grpc::Server> server;
};

PeerServer::PeerServer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{ }

PeerServer::~PeerServer()
{
    // The event loop has stopped, so calls that are still open can't be answered any more and the
    // deadline is now.
    m_state->server->Shutdown(std::chrono::system_clock::now());
}

Result<std::unique_ptr<PeerServer>>
PeerServer::create(asio::io_context &io, const wire::Endpoint &listen, PeerHandler &handler)
{
    auto state = std::make_unique<State>(io, handler);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(listen.toString(), grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(MaxMessageBytes);
    builder.RegisterService(&state->service);
    state->server = builder.BuildAndStart();
    if (!state->server || port == 0)
        return fail(ErrorKind::Unavailable,
                    "can't listen for peers on " + listen.toString()
                        + "; free the port or choose another in the local settings");
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(state)));
}

} // namespace snipestall::peer
