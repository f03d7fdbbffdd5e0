#include "policy/harness/ledger.hpp"

#include <algorithm>
#include <array>
#include <functional>

namespace snipestall::policy::harness {

namespace {

using Key = std::function<std::string(const Call &)>;

constexpr std::array<std::uint32_t Tally::*, 6> Counters { &Tally::lost,    &Tally::answered,
                                                           &Tally::refused, &Tally::expired,
                                                           &Tally::failed,  &Tally::cancelled };

void add(Tally &tally, const Call &call)
{
    ++tally.calls;
    ++(tally.*Counters.at(static_cast<std::size_t>(call.outcome)));
    const auto tokens = call.promptTokens + call.outputTokens;
    tally.tokensAsked += tokens;
    tally.tokensAnswered += call.outcome == Outcome::Answered ? tokens : 0;
    if (call.inTarget()) {
        ++tally.inTarget;
        tally.outputInTarget += call.outputTokens;
    }
    if (call.firstToken) {
        tally.firstToken.push_back(*call.firstToken - call.arrived);
    }
}

std::map<std::string, Tally> groupBy(const std::vector<Call> &calls, const Span &span,
                                     const Key &key)
{
    std::map<std::string, Tally> tallies;
    for (const auto &call : calls) {
        const auto group = key(call);
        if (!group.empty() && call.arrived >= span.from && call.arrived < span.to) {
            add(tallies[group], call);
        }
    }
    for (auto &[name, tally] : tallies) {
        std::ranges::sort(tally.firstToken);
    }
    return tallies;
}

std::uint64_t sumSince(const std::vector<Call> &calls, Time since, std::uint64_t Call::*tokens)
{
    std::uint64_t sum = 0;
    for (const auto &call : calls) {
        sum += call.finished >= since ? call.*tokens : 0;
    }
    return sum;
}

} // namespace

double Tally::shareInTarget() const
{
    return calls == 0 ? 1.0 : static_cast<double>(inTarget) / calls;
}

Duration Tally::quantile(double fraction) const
{
    if (firstToken.empty()) {
        return {};
    }
    const auto last = static_cast<double>(firstToken.size() - 1);
    return firstToken[static_cast<std::size_t>(fraction * last)];
}

std::map<std::string, Tally> Ledger::byKind(const Span &span) const
{
    return groupBy(calls, span, [](const Call &call) { return call.kind; });
}

std::map<std::string, Tally> Ledger::byUrgency(const Span &span) const
{
    return groupBy(calls, span, [](const Call &call) {
        if (call.crashesServer) {
            return std::string("crasher");
        }
        return call.plain ? std::string("plain") : toString(call.urgency);
    });
}

std::map<std::string, Tally> Ledger::byCustomer(const Span &span, const std::string &service) const
{
    return groupBy(calls, span, [&service](const Call &call) {
        return call.service == service ? call.customer : std::string();
    });
}

std::uint32_t Ledger::lost() const
{
    return static_cast<std::uint32_t>(std::ranges::count(calls, Outcome::Open, &Call::outcome));
}

std::uint64_t Ledger::lostTokens(Time since) const
{
    return sumSince(calls, since, &Call::lostTokens);
}

std::uint64_t Ledger::missedTokens(Time since) const
{
    return sumSince(calls, since, &Call::missedTokens);
}

std::string toString(Urgency urgency)
{
    static const std::array<std::string, 3> names { "urgent", "normal", "patient" };
    return names.at(static_cast<std::size_t>(urgency));
}

std::string toString(Outcome outcome)
{
    static const std::array<std::string, 6> names { "open",    "answered", "refused",
                                                    "expired", "failed",   "cancelled" };
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace snipestall::policy::harness
