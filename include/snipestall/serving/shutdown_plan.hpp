#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstddef>

namespace snipestall::serving {

/// What a process that has been asked to stop may still do, by the time since the signal.
///
/// Load: instances are replaced while callers keep their connections and the store may not answer.
/// Harm: a request taken too late is cut when the grace ends. So every bound follows from the time
/// of the signal alone; nothing that the process waits for moves one.
class ShutdownPlan
{
public:
    /// New connections may come until the readiness has been asked for a few times, once a second.
    static constexpr std::chrono::milliseconds TakeWorkFor { 2700 };
    /// Before the end of the grace: what still runs gets its last answer.
    static constexpr std::chrono::milliseconds LastAnswersMargin { 500 };
    /// Before the end of the grace: the process ends.
    static constexpr std::chrono::milliseconds EndMargin { 100 };

    /// `signalled`: when the signal came, or earlier if that is not known.
    ShutdownPlan(SteadyTime signalled, std::chrono::milliseconds grace);

    [[nodiscard]] bool takesWork(SteadyTime now) const { return now < m_refuseAt; }
    /// Requests that still run can't be finished: they get their last answer. `lag`: how late the
    /// process comes to its events; an answer takes some of them.
    [[nodiscard]] bool mustAnswer(SteadyTime now, std::chrono::milliseconds lag) const
    {
        return now + EventsToAnswer * lag >= m_answerAt;
    }
    [[nodiscard]] bool mustEnd(SteadyTime now, std::chrono::milliseconds lag) const
    {
        return now + EventsToEnd * lag >= m_endAt;
    }
    [[nodiscard]] SteadyTime signalled() const { return m_signalled; }

private:
    static constexpr int EventsToAnswer = 4;
    static constexpr int EventsToEnd = 2;

    SteadyTime m_signalled;
    SteadyTime m_refuseAt;
    SteadyTime m_answerAt;
    SteadyTime m_endAt;
};

} // namespace snipestall::serving
