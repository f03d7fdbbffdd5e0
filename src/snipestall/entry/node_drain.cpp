#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"

#include "node_state.hpp"
#include "peer.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace snipestall::entry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds DrainInterval { 50 };
/// Left of a notice when the rest is handed over: time for the call and for callers to be told.
constexpr milliseconds HandOverMargin { 2000 };
/// The balancer and peers go on sending for a moment; they are answered until then.
constexpr milliseconds LingerAfterWork { 300 };

} // namespace

// The order matters. Peers are told first, so that they stop forwarding here; new callers are
// refused as not run; what is in progress goes on, since ending it is what a planned stop must
// not do. A second signal during this changes nothing.
void Node::State::beginDrain(Notice notice, std::function<void()> done)
{
    if (notice) {
        const auto lead = std::min(HandOverMargin, *notice / 2);
        handOverAt = steady_clock::now() + *notice - lead;
    }
    if (done)
        drained = std::move(done);
    if (std::exchange(draining, true))
        return;
    logEvent(events::ProcessStopping,
             { { "notice_ms", notice ? std::to_string(notice->count()) : "none" } });
    members.setSelfLeaving();
    callers.beginDrain();
    backends.reassign();
    network.announce();
    policy.post(policy::SelfLeaving { notice.value_or(milliseconds(0)) });
    boost::asio::co_spawn(io, drainLoop(), boost::asio::detached);
}

bool Node::State::idle() const
{
    const auto open = requests.unfinished();
    return open.empty() && requests.readers() == 0;
}

wire::Task<void> Node::State::drainLoop()
{
    const auto self = shared_from_this();
    bool handed = false;
    while (!idle()) {
        const bool due = handOverAt && steady_clock::now() >= *handOverAt;
        if (due && !std::exchange(handed, true))
            co_await handOverRest();
        co_await wire::sleepFor(DrainInterval);
    }
    co_await wire::sleepFor(LingerAfterWork);
    callerServer->stopAccepting();
    co_await steward->stop();
    stopped = true;
    logEvent(events::ProcessStopped, {});
    if (drained)
        drained();
}

/// What the notice leaves no time for goes on elsewhere, and its callers are told to come back.
wire::Task<void> Node::State::handOverRest()
{
    std::vector<RequestPtr> open;
    for (const RequestPtr &request : requests.unfinished()) {
        // A non-idempotent request that may have left belongs to the attempt that is under way.
        const bool bound = !request->spec().idempotent && request->maybeSent();
        if (!request->forwarded && !bound)
            open.push_back(request);
    }
    logEvent(events::HandoverStarted, { { "requests", std::to_string(open.size()) } });
    // From here on this instance may not start an attempt of theirs: the receiver will.
    for (const RequestPtr &request : open)
        dispatcher.suspend(request);
    const std::vector<std::shared_ptr<peer::RecordSource>> sources(open.begin(), open.end());
    const std::vector<std::string> taken = co_await records.handOver(sources);
    for (const RequestPtr &request : open) {
        const bool gone = std::find(taken.begin(), taken.end(), request->spec().id) != taken.end();
        if (gone)
            dispatcher.release(request);
        else
            dispatcher.resume(request);
    }
    logEvent(events::HandoverDone, { { "taken", std::to_string(taken.size()) } });
}

} // namespace snipestall::entry
