#pragma once

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/serving/server_limits.hpp"

#include <string>

namespace snipestall::gateway {

/// Logs that what is known of a server's limit has changed. `from`: the instance that knows it.
inline void logServerLimit(const serving::ServerLimitReport &limit, const std::string &from)
{
    logEvent(events::ServerLimitChanged,
             { { "server", limit.server },
               { "per_second", limit.perSecond ? std::to_string(*limit.perSecond) : "" },
               { "from", from },
               { "age_ms", std::to_string(limit.age.count()) } });
}

} // namespace snipestall::gateway
