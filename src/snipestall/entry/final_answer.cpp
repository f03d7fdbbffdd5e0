#include "snipestall/entry/final_answer.hpp"

#include <array>

namespace snipestall::entry {

namespace {

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

} // namespace snipestall::entry
