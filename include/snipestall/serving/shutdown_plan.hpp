#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstddef>

namespace snipestall::serving {

/// What a process that was asked to stop may still do, depending on the time since the signal.
///
/// Load: instances are replaced while callers keep their connections and the store may not answer.
/// Harm: a request that is accepted too late, or that takes longer than the time that is left, is
/// cut off when the grace period ends. Every time limit therefore follows from the time of the
/// signal and the grace period alone; nothing that the process waits for moves a limit. A request
/// is accepted only if it is expected to end before the last answers.
class ShutdownPlan
{
public:
    /// New connections may arrive until the readiness has been queried a few times, once per
    /// second. Longer grace periods don't prolong this.
    static constexpr std::chrono::milliseconds AcceptPeriod { 2700 };
    /// Before the end of the grace period: time at which requests that still run get their last
    /// answer; less in a short grace period.
    static constexpr std::chrono::milliseconds LastAnswerMargin { 500 };
    /// Before the end of the grace period: time at which the process ends; less in a short grace
    /// period.
    static constexpr std::chrono::milliseconds EndMargin { 100 };

    /// `signalled`: when the signal arrived, or an earlier time if that is not known; `grace`: the
    /// grace period.
    ShutdownPlan(SteadyTime signalled, std::chrono::milliseconds grace);

    /// Whether new requests are still accepted, as far as they can be finished.
    [[nodiscard]] bool takesWork(SteadyTime now) const { return now < m_refuseAt; }
    /// Whether a request that takes `expected` ends before the last answers.
    [[nodiscard]] bool canFinish(SteadyTime now, std::chrono::milliseconds expected,
                                 std::chrono::milliseconds lag) const
    {
        return !mustAnswer(now + expected, lag);
    }
    /// Whether requests that still run can no longer be finished and have to get their last answer.
    /// `lag`: how late the process handles its events; an answer takes several events.
    [[nodiscard]] bool mustAnswer(SteadyTime now, std::chrono::milliseconds lag) const
    {
        return now + EventsToAnswer * lag >= m_lastAnswerAt;
    }
    /// Whether the process has to end now.
    [[nodiscard]] bool mustEnd(SteadyTime now, std::chrono::milliseconds lag) const
    {
        return now + EventsToEnd * lag >= m_endAt;
    }
    [[nodiscard]] SteadyTime signalled() const { return m_signalled; }

private:
    static constexpr int EventsToAnswer = 4;
    static constexpr int EventsToEnd = 2;
    /// Parts of a short grace period that the margins take.
    static constexpr int LastAnswerPart = 4;
    static constexpr int EndPart = 20;

    SteadyTime m_signalled;
    SteadyTime m_refuseAt;
    SteadyTime m_lastAnswerAt;
    SteadyTime m_endAt;
};

} // namespace snipestall::serving
