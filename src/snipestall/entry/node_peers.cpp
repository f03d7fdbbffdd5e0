#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/entry/forward_relay.hpp"
#include "snipestall/peer/forward_sink.hpp"
#include "snipestall/wire/spawn.hpp"

#include "node_state.hpp"
#include "outcome_unknown.hpp"
#include "peer.pb.h"

#include <utility>

namespace snipestall::entry {

namespace v1 = peer::v1;

v1::HeartbeatReply Node::State::onHeartbeat(const v1::HeartbeatRequest &request)
{
    return network.onHeartbeat(request);
}

v1::HoldReply Node::State::onHold(const v1::HoldRequest &request)
{
    return records.onHold(request);
}

v1::TrialReply Node::State::onTrial(const v1::TrialRequest &request)
{
    return trials.onTrial(request);
}

v1::HandoverReply Node::State::onHandover(const v1::HandoverRequest &request)
{
    return records.onHandover(request);
}

v1::SettingsDocument Node::State::onFetchSettings(const v1::FetchSettingsRequest &request)
{
    v1::SettingsDocument reply;
    const peer::SettingsDocument &held = keeper.document();
    if (held.version <= request.newer_than())
        return reply;
    reply.set_version(held.version);
    reply.set_hash(held.hash);
    reply.set_yaml(held.yaml);
    return reply;
}

void Node::State::onForward(const v1::ForwardRequest &call, std::shared_ptr<peer::ForwardSink> sink)
{
    const RequestPtr request =
        Request::fromRecord(io.get_executor(), call.record(), requests.nextHandle());
    request->forwarded = true;
    auto stop = std::make_shared<bool>(false);
    const std::weak_ptr<Request> weak = request;
    sink->onCancelled([this, weak, stop] {
        *stop = true;
        const RequestPtr running = weak.lock();
        if (running == nullptr)
            return;
        running->changed().notifyAll();
        // The home is lost or no longer needs the answer. A request that may run only once is not
        // cancelled, because its outcome must still be stored for a repeat by the caller.
        const bool mustStayHere = !running->spec().idempotent && running->maybeSent();
        if (!mustStayHere)
            dispatcher.cancel(running);
    });
    dispatcher.handleArrival(request, false);
    wire::spawn(io, relayToPeer(request, call.attempt(), std::move(sink), stop, false), "relay");
}

void Node::State::onFindRequest(const v1::FindRequestRequest &call,
                                std::shared_ptr<peer::ForwardSink> sink)
{
    const RequestPtr request = requests.find(call.request());
    const bool found =
        request != nullptr && !request->moved && request->spec().customer == call.customer();
    v1::ForwardEvent first;
    first.set_kind(found ? v1::ForwardEvent::ACCEPTED : v1::ForwardEvent::NOT_RUN);
    if (!found) {
        sink->write(first);
        return sink->finish();
    }
    first.set_reason(request->spec().service);
    first.set_server(request->spec().model);
    sink->write(first);
    auto stop = std::make_shared<bool>(false);
    const std::weak_ptr<Request> weak = request;
    sink->onCancelled([weak, stop] {
        *stop = true;
        if (const RequestPtr running = weak.lock())
            running->changed().notifyAll();
    });
    wire::spawn(io, relayToPeer(request, "", std::move(sink), stop, true), "relay");
}

// An idempotent request is continued from its replica; at worst it runs twice, which costs tokens.
// A request that may run only once is run here only if its record says that no byte was sent, and
// if in addition its home released it or it has an idempotency key. With a key, the stored claim
// decides who may send it, even if the former home resumes later.
void Node::State::takeOver(const v1::RequestRecord &record, bool released)
{
    if (requests.find(record.request()) != nullptr)
        return;
    const RequestPtr request =
        Request::fromRecord(io.get_executor(), record, requests.nextHandle());
    logEvent(events::RequestTakenOver,
             { { "request", record.request() }, { "released", released ? "yes" : "no" } });
    if (request->finished()) {
        requests.add(request);
        return;
    }
    const RequestSpec &spec = request->spec();
    const bool hasKey = !spec.idempotencyKey.empty();
    const bool once = !spec.idempotent;
    const bool mayRun = !once || (!record.maybe_sent() && (released || hasKey));
    if (mayRun) {
        dispatcher.handleArrival(request, true);
        return;
    }
    requests.add(request);
    if (hasKey)
        dispatcher.awaitStoredOutcome(request);
    else
        dispatcher.finish(
            request,
            outcomeUnknown("the instance of the request was lost, and the request may have run"));
}

} // namespace snipestall::entry
