#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/entry/request.hpp"
#include "snipestall/wire/http_server.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::peer {
class ForwardCall;
class Membership;
class PeerNetwork;
class RecordKeeper;
class SettingsKeeper;
} // namespace snipestall::peer
namespace snipestall::settings {
struct EffectiveSettings;
struct ServiceSettings;
} // namespace snipestall::settings
namespace snipestall::wire {
class HttpExchange;
struct HttpRequest;
} // namespace snipestall::wire

namespace snipestall::entry {

class Dispatcher;
class RequestStore;

/// Components that the API uses; all must outlive it.
struct CallerApiDependencies
{
    boost::asio::io_context *io = nullptr;
    RequestStore *store = nullptr;
    Dispatcher *dispatcher = nullptr;
    peer::SettingsKeeper *settings = nullptr;
    peer::Membership *members = nullptr;
    peer::PeerNetwork *network = nullptr;
    peer::RecordKeeper *records = nullptr;
};

/// The HTTP interface for callers; see docs/api.md.
class CallerApi
{
public:
    /// `seed` initialises the generator of request ids.
    CallerApi(CallerApiDependencies dependencies, std::uint64_t seed);
    ~CallerApi();

    wire::HttpServer::Handler handler();
    /// Refuses new requests as not run from now on; answers in progress continue.
    void beginDrain() { m_draining = true; }
    /// Starts serving requests. Called once the platform or a peer has confirmed the settings since
    /// this process started.
    void setReady() { m_ready = true; }
    [[nodiscard]] bool ready() const { return m_ready; }

private:
    struct Call;
    using Route = wire::Task<void> (CallerApi::*)(Call &);
    struct RouteEntry;

    /// Authenticates the caller and calls the matching route.
    wire::Task<void> handle(wire::HttpExchange &exchange);
    wire::Task<void> chat(Call &call);
    wire::Task<void> complete(Call &call);
    wire::Task<void> models(Call &call);
    wire::Task<void> plain(Call &call);
    /// GET /v1/requests/<id>: continues or repeats the answer of an accepted request.
    wire::Task<void> resumeRequest(Call &call);
    wire::Task<void> model(Call &call, bool chat);
    /// Starts a request, or joins the one with the same idempotency key.
    wire::Task<void> run(Call &call, RequestSpec spec, bool stream, bool chat);
    wire::Task<void> answer(Call &call, RequestPtr request, bool stream, bool chat);
    wire::Task<void> refuseInvalid(Call &call, int status, std::string message);
    /// Finds a request on this instance, at its home or at a possible holder of its replica; null
    /// if it is not found.
    wire::Task<RequestPtr> locate(std::string id, std::string customer, std::uint64_t offset);
    /// Returns NotFound if the peer does not have the request, and another error if the peer does
    /// not answer.
    wire::Task<Result<RequestPtr>> askPeer(std::string peer, std::string id, std::string customer,
                                           std::uint64_t offset);
    /// Peers that may have the request: its home if known, then the likely holders of its replica.
    [[nodiscard]] std::vector<std::string> candidateInstances(const std::string &id,
                                                              const std::string &home) const;
    /// Copies the output of a request on another instance into `mirror`.
    wire::Task<void> fillMirror(RequestPtr mirror, std::shared_ptr<peer::ForwardCall> call);
    /// Returns false if the deadline or the idempotency key of the call is invalid.
    bool fillSpec(const Call &call, const settings::ServiceSettings &service, RequestSpec &spec);
    std::string newRequestId();

    CallerApiDependencies m_deps;
    /// State of the generator of request ids.
    std::uint64_t m_randomState;
    bool m_draining = false;
    bool m_ready = false;
};

} // namespace snipestall::entry
