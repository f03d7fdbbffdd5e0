#include "snipestall/gateway/notice_recorder.hpp"

#include "platform/server_header.hpp"
#include "platform/server_notice.hpp"
#include "server_limit_log.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"

namespace snipestall::gateway {

namespace {

/// Takes over what the answer says of the requests that its server takes.
void recordLimits(GatewayState &state, const serving::ServerState &server,
                  const std::string &attempt, const platform::ServerResponse &answer)
{
    const SteadyTime now = state.clock.steadyNow();
    const std::string &service = server.info.service;
    if (answer.failsOnRejections
        && state.slotShares.named({ service, std::chrono::milliseconds(0) }, now))
        logEvent(events::SlotsShared,
                 { { "service", service }, { "from", state.settings.instance } });
    if (answer.limitFaulty) {
        logEvent(events::ServerLimitFaulty, { { "attempt", attempt }, { "server", server.key } });
        return;
    }
    const auto limit = answer.requestsPerSecond;
    if (state.limits.answered(server, limit, now))
        logServerLimit({ server.key, limit, std::chrono::milliseconds(0) },
                       state.settings.instance);
}

} // namespace

void recordNotice(GatewayState &state, serving::ServerState &server, const std::string &attempt,
                  const BackendCall::Head &head)
{
    const auto answer = platform::readServerResponse(head.result_int(), head);
    // Another incarnation says nothing about this one.
    if (answer.wrongServer)
        return;
    recordLimits(state, server, attempt, answer);
    const SteadyTime now = state.clock.steadyNow();
    const auto notice = platform::readServerNotice(head.result_int(), head, state.clock.wallNow());
    if (notice.leaving && state.servers.saidItLeaves(server.key, now))
        logEvent(events::ServerSaysItLeaves,
                 { { "server", server.key },
                   { "attempt", attempt },
                   { "from", state.settings.instance } });
    if (notice.restFaulty)
        logEvent(events::ServerRestFaulty, { { "server", server.key }, { "attempt", attempt } });
    if (notice.restFor && notice.restFor->count() > 0
        && state.servers.askedForRest(server, now + *notice.restFor, now))
        logEvent(events::ServerRests,
                 { { "server", server.key },
                   { "attempt", attempt },
                   { "rest_ms", std::to_string(notice.restFor->count()) } });
}

void endRests(GatewayState &state)
{
    for (const std::string &server : state.servers.endRests(state.clock.steadyNow()))
        logEvent(events::ServerRestEnded, { { "server", server } });
}

} // namespace snipestall::gateway
