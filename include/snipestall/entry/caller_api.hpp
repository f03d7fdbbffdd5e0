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

/// What the API works with; all outlive it.
struct CallerApiLinks
{
    boost::asio::io_context *io = nullptr;
    RequestStore *store = nullptr;
    Dispatcher *dispatcher = nullptr;
    peer::SettingsKeeper *settings = nullptr;
    peer::Membership *members = nullptr;
    peer::PeerNetwork *network = nullptr;
    peer::RecordKeeper *records = nullptr;
};

/// The callers' HTTP interface; see docs/api.md.
class CallerApi
{
public:
    CallerApi(CallerApiLinks links, std::uint64_t seed);
    ~CallerApi();

    wire::HttpServer::Handler handler();
    /// Refuses new requests as not run from now on; answers under way go on.
    void beginDrain() { m_draining = true; }
    /// The settings have been confirmed by the platform or a peer since this process began.
    void setReady() { m_ready = true; }
    [[nodiscard]] bool ready() const { return m_ready; }

private:
    struct Call;
    using Route = wire::Task<void> (CallerApi::*)(Call &);
    struct RouteEntry;

    wire::Task<void> handle(wire::HttpExchange &exchange);
    wire::Task<void> chat(Call &call);
    wire::Task<void> complete(Call &call);
    wire::Task<void> models(Call &call);
    wire::Task<void> plain(Call &call);
    wire::Task<void> comeBack(Call &call);
    wire::Task<void> model(Call &call, bool chat);
    wire::Task<void> run(Call &call, RequestSpec spec, bool stream, bool chat);
    wire::Task<void> answer(Call &call, RequestPtr request, bool stream, bool chat);
    wire::Task<void> refuseInvalid(Call &call, int status, std::string message);
    wire::Task<RequestPtr> locate(std::string id, std::string customer, std::uint64_t offset);
    /// NotFound if the peer says so; anything else if it does not answer.
    wire::Task<Result<RequestPtr>> askPeer(std::string peer, std::string id, std::string customer,
                                           std::uint64_t offset);
    [[nodiscard]] std::vector<std::string> holders(const std::string &id,
                                                   const std::string &home) const;
    wire::Task<void> follow(RequestPtr mirror, std::shared_ptr<peer::ForwardCall> call);
    bool fillSpec(const Call &call, const settings::ServiceSettings &service, RequestSpec &spec);
    std::string newRequestId();

    CallerApiLinks m_links;
    std::uint64_t m_state;
    bool m_draining = false;
    bool m_ready = false;
};

} // namespace snipestall::entry
