#include "snipestall/entry/forward_relay.hpp"

#include "snipestall/peer/forward_sink.hpp"

#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace snipestall::entry {

using peer::v1::ForwardEvent;

namespace {

ForwardEvent::Kind kindOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return ForwardEvent::END;
    case Outcome::NotRun:
        return ForwardEvent::NOT_RUN;
    case Outcome::Unknown:
        return ForwardEvent::UNKNOWN;
    case Outcome::Failed:
        return ForwardEvent::FAILED;
    }
    return ForwardEvent::UNKNOWN;
}

ForwardEvent lastEvent(Request &request)
{
    const FinalAnswer &answer = *request.finalAnswer();
    ForwardEvent event;
    event.set_kind(kindOf(answer.outcome));
    event.set_status(static_cast<std::uint32_t>(answer.status));
    event.set_content_type(answer.contentType);
    event.set_data(answer.body);
    event.set_reason(answer.reason);
    event.set_code(answer.code);
    event.set_retry_after_ms(static_cast<std::uint32_t>(answer.retryAfter.count()));
    for (const std::string &server : request.crashedServers())
        event.add_crashed_servers(server);
    if (!request.crashedServers().empty()) {
        event.set_server_died(true);
        event.set_server(*request.crashedServers().rbegin());
    }
    return event;
}

} // namespace

wire::Task<void> relayToPeer(RequestPtr request, std::string attempt,
                             std::shared_ptr<peer::ForwardSink> sink, std::shared_ptr<bool> stop,
                             bool onlyReleased)
{
    const auto write = [&](ForwardEvent event) {
        event.set_attempt(attempt);
        sink->write(event);
    };
    bool sendingReported = onlyReleased;
    std::uint64_t next = request->firstOffset();
    while (!*stop) {
        if (!sendingReported && request->maybeSent()) {
            sendingReported = true;
            ForwardEvent event;
            event.set_kind(ForwardEvent::SENDING);
            write(std::move(event));
        }
        const std::uint64_t end = onlyReleased
            ? std::min(request->released(), request->nextOffset())
            : request->nextOffset();
        for (; next < end; ++next) {
            ForwardEvent event;
            event.set_kind(ForwardEvent::CHUNK);
            event.set_offset(next);
            event.set_data(request->piece(next));
            write(std::move(event));
        }
        const bool ended =
            request->finished() && (!onlyReleased || request->released() >= request->progress());
        if (ended) {
            write(lastEvent(*request));
            break;
        }
        if (onlyReleased && request->moved)
            break;
        co_await request->changed().wait();
    }
    sink->finish();
}

} // namespace snipestall::entry
