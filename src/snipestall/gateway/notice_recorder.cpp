#include "snipestall/gateway/notice_recorder.hpp"

#include "platform/server_header.hpp"
#include "platform/server_notice.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"

namespace snipestall::gateway {

void recordNotice(GatewayState &state, serving::ServerState &server, const std::string &attempt,
                  const BackendCall::Head &head)
{
    // Another incarnation says nothing about this one.
    if (platform::readServerResponse(head.result_int(), head).wrongServer)
        return;
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
