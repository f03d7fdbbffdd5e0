#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace snipestall::serving {

/// Whether this instance has a network path to any backend server.
///
/// Failure: the paths from one instance to all servers are cut, while its callers and the other
/// instances still reach it. It shows as one server after the other that can't be reached or does
/// not answer, with no other one in between that does. A server that has stopped, or servers of one
/// service that are ill, leave others that answer. A few failures only raise the suspicion; whether
/// the instance is cut off is decided by connections that are opened to find out.
class ServerReach
{
public:
    /// A server could not be reached, or a request that was sent to it got no answer.
    void failed(const std::string &server, SteadyTime now);
    /// A server accepted a connection or answered.
    void reached();
    /// Returns whether it is to be found out if servers can be reached. `servers`: number of
    /// servers that are known.
    [[nodiscard]] bool suspected(std::size_t servers, SteadyTime now);
    /// No server accepted a connection that was opened to find out. Returns whether the instance
    /// counts as cut off only from now on.
    bool confirm();
    /// Returns whether no server can be reached.
    [[nodiscard]] bool cutOff() const { return m_cutOff; }

private:
    static constexpr std::size_t SuspicionThreshold = 3;
    /// Failures that are further apart are taken as unrelated.
    static constexpr std::chrono::milliseconds FailureWindow { 3000 };

    /// Servers that have failed since one was last reached, and when.
    std::map<std::string, SteadyTime> m_failed;
    bool m_cutOff = false;
};

} // namespace snipestall::serving
