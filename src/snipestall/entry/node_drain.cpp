#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/wire/spawn.hpp"

#include "node_state.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace snipestall::entry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Time between two checks whether the drain is complete.
constexpr milliseconds DrainInterval { 50 };
/// Remaining part of the notice when the open requests are handed over: time for the call and for
/// telling the callers to reconnect.
constexpr milliseconds HandOverMargin { 2000 };
/// The load balancer and peers continue to send requests for a moment; these are answered until
/// then.
constexpr milliseconds LingerTime { 300 };

} // namespace

// The order matters. Peers are notified first, so that they stop forwarding requests here. New
// requests are refused as not run. Requests in progress continue, because a planned stop must not
// end them. A second signal during the drain changes nothing.
void Node::State::beginDrain(Notice notice, std::function<void()> done)
{
    if (notice) {
        const auto margin = std::min(HandOverMargin, *notice / 2);
        handOverAt = steady_clock::now() + *notice - margin;
    }
    if (done)
        onDrained = std::move(done);
    if (std::exchange(draining, true))
        return;
    logEvent(events::ProcessStopping,
             { { "notice_ms", notice ? std::to_string(notice->count()) : "none" } });
    members.setSelfLeaving();
    callers.beginDrain();
    backends.reassign();
    network.announce();
    policy.post(policy::SelfLeaving { notice.value_or(milliseconds(0)) });
    wire::spawnLoop(
        io, [this] { return drainLoop(); }, "drain");
}

bool Node::State::idle() const
{
    const auto open = requests.unfinished();
    return open.empty() && requests.readers() == 0;
}

wire::Task<void> Node::State::drainLoop()
{
    const auto self = shared_from_this();
    bool handedOver = false;
    while (!idle()) {
        const bool due = handOverAt && steady_clock::now() >= *handOverAt;
        if (due && !std::exchange(handedOver, true))
            co_await handOverRemaining();
        co_await wire::sleepFor(DrainInterval);
    }
    co_await wire::sleepFor(LingerTime);
    callerServer->stopAccepting();
    co_await steward->stop();
    stopped = true;
    logEvent(events::ProcessStopped, {});
    if (onDrained)
        onDrained();
}

/// Hands the requests that cannot end within the notice over to other instances. Their callers are
/// asked to reconnect.
wire::Task<void> Node::State::handOverRemaining()
{
    std::vector<RequestPtr> open;
    for (const RequestPtr &request : requests.unfinished()) {
        // A non-idempotent request that may have been sent stays with its running attempt.
        const bool mustStayHere = !request->spec().idempotent && request->maybeSent();
        if (!request->forwarded && !mustStayHere)
            open.push_back(request);
    }
    logEvent(events::HandoverStarted, { { "requests", std::to_string(open.size()) } });
    // From here on only the receiver may start attempts of these requests.
    for (const RequestPtr &request : open)
        dispatcher.suspend(request);
    const std::vector<std::shared_ptr<peer::RecordSource>> sources(open.begin(), open.end());
    const std::vector<std::string> taken = co_await records.handOver(sources);
    for (const RequestPtr &request : open) {
        const bool takenOver =
            std::find(taken.begin(), taken.end(), request->spec().id) != taken.end();
        if (takenOver)
            dispatcher.release(request);
        else
            dispatcher.resume(request);
    }
    logEvent(events::HandoverDone, { { "taken", std::to_string(taken.size()) } });
}

} // namespace snipestall::entry
