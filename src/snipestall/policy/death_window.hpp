#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <deque>
#include <utility>

namespace snipestall::policy {

/// Recent deaths of backend servers of one pool.
///
/// Guards against this failure: a rack or a data centre loses power, and every request in flight
/// there counts as suspected of crashing its server. The surviving servers are then emptied to run
/// hundreds of requests alone, one by one. One request crashes one server at a time, so several
/// deaths at once have another cause.
class DeathWindow
{
public:
    void add(Time now, ServerHandle server);
    [[nodiscard]] bool hasCommonCause(Time now) const;
    /// Whether a death at time `death` is recent enough to share a cause with the present ones.
    [[nodiscard]] static bool isRecent(Time now, Time death);

private:
    std::deque<std::pair<Time, ServerHandle>> m_deaths;
};

} // namespace snipestall::policy
