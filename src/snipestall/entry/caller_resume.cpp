#include "snipestall/base/rendezvous.hpp"
#include "snipestall/entry/caller_api.hpp"
#include "snipestall/entry/request_store.hpp"
#include "snipestall/peer/forward_call.hpp"
#include "snipestall/peer/membership.hpp"
#include "snipestall/peer/peer_client.hpp"
#include "snipestall/peer/peer_network.hpp"
#include "snipestall/wire/http_exchange.hpp"
#include "snipestall/wire/spawn.hpp"

#include "answer_writer.hpp"
#include "caller_call.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace snipestall::entry {

using peer::v1::ForwardEvent;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::string_view RequestsPrefix = "/v1/requests/";
/// Within this time a lost home is suspected and its requests are taken over.
constexpr milliseconds MaxSearchTime { 8000 };
constexpr milliseconds SearchInterval { 250 };
constexpr milliseconds MirrorTimeout { 3600000 };
/// The buddy is the first in rendezvous order. More instances are asked because instances may
/// disagree on which members are alive.
constexpr std::size_t MaxAsked = 4;

std::uint64_t offsetOf(const wire::HttpRequest &request)
{
    // Last-Event-ID holds the last offset that the caller has received, as browsers send it.
    const std::string last = request.fields.find("Last-Event-ID").value_or("");
    std::uint64_t offset = 0;
    const char *end = last.data() + last.size();
    const auto [stop, code] = std::from_chars(last.data(), end, offset);
    return code == std::errc {} && stop == end ? offset + 1 : 0;
}

} // namespace

wire::Task<void> CallerApi::resumeRequest(Call &call)
{
    const std::string id(call.request.path().substr(RequestsPrefix.size()));
    call.from = offsetOf(call.request);
    const RequestPtr request = co_await locate(id, call.customer, 0);
    if (request == nullptr) {
        auto response = errorResponse(404, "", "not_found",
                                      "no request '" + id
                                          + "' of this customer is known; answers "
                                            "are kept only for a short time");
        co_await call.exchange.respond(std::move(response));
        co_return;
    }
    // Tokens beyond the known output came from an instance that was lost before they were
    // replicated. Continuing after them would make an answer of two parts that do not match.
    const bool ahead = request->finished() && call.from > request->nextOffset();
    if (ahead) {
        auto response = errorResponse(
            409, "", "offset_ahead",
            "the requested offset is beyond the end of the answer; use a smaller offset");
        response.fields.set("Snipestall-Next-Offset", std::to_string(request->nextOffset()));
        co_await call.exchange.respond(std::move(response));
        co_return;
    }
    const std::string accept = call.request.fields.find("Accept").value_or("");
    const bool stream = accept.find("text/event-stream") != std::string::npos
        || call.request.fields.find("Last-Event-ID").has_value();
    co_await answer(call, request, stream, call.request.query("form") != "completion");
}

/// Searches this instance, the home of the request and the instances that may hold its replica. A
/// home that does not answer may have just been lost and still count as live here; then the search
/// continues until one of the others has taken over the request. Only a negative answer of the home
/// itself ends the search earlier.
wire::Task<RequestPtr> CallerApi::locate(std::string id, std::string customer, std::uint64_t offset)
{
    const std::string home = id.substr(0, id.find('~'));
    const auto until = steady_clock::now() + MaxSearchTime;
    while (true) {
        const RequestPtr local = m_deps.store->find(id);
        if (local != nullptr && !local->moved)
            co_return local->spec().customer == customer ? local : nullptr;
        bool homeDenies = false;
        for (const std::string &peer : candidateInstances(id, home)) {
            auto found = co_await askPeer(peer, id, customer, offset);
            if (found)
                co_return *found;
            const bool denies = found.error().kind == ErrorKind::NotFound;
            homeDenies = homeDenies || (peer == home && denies);
        }
        const bool homeKnown =
            m_deps.members->find(home) != nullptr || home == m_deps.members->self();
        if (homeDenies || !homeKnown || steady_clock::now() >= until)
            co_return nullptr;
        co_await wire::sleepFor(SearchInterval);
    }
}

std::vector<std::string> CallerApi::candidateInstances(const std::string &id,
                                                       const std::string &home) const
{
    const peer::Member *member = m_deps.members->find(home);
    const std::string &dataCentre =
        member != nullptr ? member->dataCentre : m_deps.members->dataCentre();
    std::vector<std::string> asked = m_deps.members->membersOf(dataCentre);
    std::erase(asked, home);
    asked = rendezvousOrder(id, asked);
    asked.resize(std::min(asked.size(), MaxAsked));
    if (member != nullptr)
        asked.insert(asked.begin(), home);
    return asked;
}

wire::Task<Result<RequestPtr>> CallerApi::askPeer(std::string peer, std::string id,
                                                  std::string customer, std::uint64_t offset)
{
    peer::PeerClient *client = m_deps.network->client(peer);
    if (client == nullptr)
        co_return fail(ErrorKind::Unavailable, "the address of '" + peer + "' is not known");
    peer::v1::FindRequestRequest question;
    question.set_request(id);
    question.set_customer(customer);
    question.set_offset(offset);
    const std::shared_ptr<peer::ForwardCall> call = client->findRequest(question, MirrorTimeout);
    auto first = co_await call->read();
    if (!first)
        co_return tl::unexpected<Error>(first.error());
    const bool found = first->has_value() && (*first)->kind() == ForwardEvent::ACCEPTED;
    if (!found)
        co_return fail(ErrorKind::NotFound, "'" + peer + "' does not have the request");
    RequestSpec spec;
    spec.id = id;
    spec.customer = customer;
    spec.service = (*first)->reason();
    spec.model = (*first)->server();
    spec.kind = spec.model.empty() ? settings::ServiceKind::Plain : settings::ServiceKind::Model;
    const RequestPtr mirror =
        Request::create(m_deps.io->get_executor(), std::move(spec), policy::RequestHandle {});
    wire::spawn(*m_deps.io, fillMirror(mirror, call), "mirror");
    co_return mirror;
}

/// Copies the output of a request on another instance into `mirror`, for one caller that reads it
/// here.
wire::Task<void> CallerApi::fillMirror(RequestPtr mirror, std::shared_ptr<peer::ForwardCall> call)
{
    while (!mirror->finished()) {
        auto next = co_await call->read();
        if (!next || !next->has_value())
            break;
        const ForwardEvent &event = **next;
        if (event.kind() == ForwardEvent::CHUNK) {
            mirror->append(event.offset(), event.data());
            mirror->release(mirror->progress());
            continue;
        }
        FinalAnswer answer;
        answer.status = static_cast<int>(event.status());
        answer.contentType = event.content_type();
        answer.body = event.data();
        answer.reason = event.reason();
        answer.code = event.code();
        answer.retryAfter = milliseconds(event.retry_after_ms());
        if (event.kind() == ForwardEvent::END)
            answer.outcome = Outcome::Completed;
        if (event.kind() == ForwardEvent::NOT_RUN)
            answer.outcome = Outcome::NotRun;
        if (event.kind() == ForwardEvent::UNKNOWN)
            answer.outcome = Outcome::Unknown;
        mirror->finish(std::move(answer));
        mirror->release(mirror->progress());
    }
    // The instance that sent the output is lost: the caller's stream is ended and the caller
    // reconnects.
    if (!mirror->finished())
        mirror->moved = true;
    mirror->changed().notifyAll();
}

} // namespace snipestall::entry
