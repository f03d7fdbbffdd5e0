#include "snipestall/entry/final_answer.hpp"

#include "outcome_unknown.hpp"

#include <array>
#include <utility>

namespace snipestall::entry {

namespace {

constexpr int StatusGatewayTimeout = 504;
constexpr std::array<std::string_view, 4> Names { "completed", "not-run", "unknown", "failed" };

} // namespace

std::string_view toString(Outcome outcome)
{
    return Names.at(static_cast<std::size_t>(outcome));
}

Outcome outcomeFrom(std::string_view text)
{
    for (std::size_t i = 0; i < Names.size(); ++i) {
        if (Names[i] == text)
            return static_cast<Outcome>(i);
    }
    return Outcome::Unknown;
}

FinalAnswer outcomeUnknown(std::string reason)
{
    FinalAnswer answer;
    answer.outcome = Outcome::Unknown;
    answer.status = StatusGatewayTimeout;
    answer.code = "outcome-unknown";
    answer.reason = std::move(reason);
    return answer;
}

} // namespace snipestall::entry
