#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <deque>
#include <utility>

namespace snipestall::policy {

/// Deaths of backend servers of one pool within the last moments.
///
/// Failure: a rack or a data centre loses power, and everything in flight there would count as
/// suspected of crashing its server; it shows as survivors emptied to run hundreds of requests
/// alone, one by one. One request takes down one server at a time, so several deaths at once have
/// another cause.
class DeathWindow
{
public:
    void add(Time now, ServerHandle server);
    [[nodiscard]] bool commonCause(Time now) const;
    /// Whether a death at that time belongs to what happens now.
    [[nodiscard]] static bool within(Time now, Time death);

private:
    std::deque<std::pair<Time, ServerHandle>> m_deaths;
};

} // namespace snipestall::policy
