#pragma once

namespace snipestall::serving {

/// Numbers of attempts of one request.
struct AttemptCounts
{
    /// Attempts that a backend server may have run.
    int runs = 0;
    /// Attempts that were begun, including those that no server ran.
    int sends = 0;

    friend bool operator==(const AttemptCounts &, const AttemptCounts &) = default;
};

/// What one request may still use of the attempts that its route allows, whichever instances serve
/// it.
///
/// Failure: an instance forwards a request, the other one runs it as often as the route allows, and
/// the first one counts that as a single run and sends it on. So a request that fails everywhere
/// runs on more servers than its route allows, and each of them loses time on it. The guard: the
/// other instance is granted what is left, and states in its answer what it has used. Where its
/// answer is lost or breaks off, all that was granted counts as used, so the limit holds whatever
/// happened there.
class AttemptBudget
{
public:
    AttemptBudget() = default;
    /// `attemptLimit`: attempts that servers may run; at least one is allowed.
    explicit AttemptBudget(int attemptLimit);

    /// Another instance has granted this, of which it keeps the account. The own route's limit
    /// holds as well.
    void restrictTo(const AttemptCounts &granted);
    void sent() { ++m_used.sends; }
    /// A server may have run an attempt.
    void ran() { ++m_used.runs; }

    /// What another instance that is to serve the request may use: all that is left.
    [[nodiscard]] AttemptCounts grant() const { return { runsLeft(), sendsLeft() }; }
    /// Another instance has used this much of its grant.
    void usedElsewhere(const AttemptCounts &used);

    [[nodiscard]] const AttemptCounts &used() const { return m_used; }
    [[nodiscard]] int runsLeft() const;
    [[nodiscard]] int sendsLeft() const;
    [[nodiscard]] bool exhausted() const { return runsLeft() == 0 || sendsLeft() == 0; }

private:
    /// Sends allowed beyond the attempt limit. A server that reports that it did not run a request,
    /// or that can't be reached, uses up no run, but the search for a server must end.
    static constexpr int ExtraSends = 3;

    AttemptCounts m_limit { 1, 1 + ExtraSends };
    AttemptCounts m_used;
};

} // namespace snipestall::serving
