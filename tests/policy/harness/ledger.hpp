#pragma once

#include "policy/harness/call.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipestall::policy::harness {

/// The outcomes of one group of calls.
struct Tally
{
    std::uint32_t calls = 0;
    std::uint32_t answered = 0;
    std::uint32_t inTarget = 0;
    std::uint32_t refused = 0;
    std::uint32_t expired = 0;
    std::uint32_t failed = 0;
    std::uint32_t cancelled = 0;
    std::uint32_t lost = 0;
    std::uint64_t outputInTarget = 0;
    /// Counts prompt and output tokens.
    std::uint64_t tokensAsked = 0;
    std::uint64_t tokensAnswered = 0;
    /// Times to the first token of the calls that got one, in ascending order.
    std::vector<Duration> firstToken {};

    [[nodiscard]] double shareInTarget() const;
    [[nodiscard]] Duration quantile(double fraction) const;
};

struct Span
{
    Time from {};
    Time to = Time::max();
};

/// Records the outcome of every call and the violations of the contract.
class Ledger
{
public:
    std::vector<Call> calls;
    /// Number of times that a call which is not idempotent was sent again although an earlier
    /// attempt might have run.
    std::uint32_t unsafeRetries = 0;
    std::uint32_t answersToClosedCalls = 0;
    std::uint32_t refusalsWithoutTime = 0;
    std::uint32_t dispatchesToLeaving = 0;
    std::uint32_t dispatchesToFull = 0;
    std::uint32_t commandsForUnknown = 0;
    std::uint32_t serversCrashed = 0;
    double cost = 0;

    /// Groups the calls that arrived in the span by kind.
    [[nodiscard]] std::map<std::string, Tally> byKind(const Span &span) const;
    /// Groups model calls by urgency, calls of the plain service as "plain", and requests that
    /// crash servers, which no server can answer, as "crasher".
    [[nodiscard]] std::map<std::string, Tally> byUrgency(const Span &span) const;
    [[nodiscard]] std::map<std::string, Tally> byCustomer(const Span &span,
                                                          const std::string &service) const;
    [[nodiscard]] std::uint32_t lost() const;
    /// Returns the tokens that were computed again for the calls that ended at or after `since`.
    [[nodiscard]] std::uint64_t lostTokens(Time since) const;
    [[nodiscard]] std::uint64_t missedTokens(Time since) const;
};

std::string toString(Urgency urgency);
std::string toString(Outcome outcome);

} // namespace snipestall::policy::harness
