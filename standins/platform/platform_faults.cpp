#include "platform/platform_faults.hpp"

#include "common/json_fields.hpp"

#include <array>
#include <stdexcept>

namespace snipestall::standins {

namespace {

struct Part
{
    std::string_view name;
    std::string_view pathPrefix;
    PartState PlatformFaults::*state;
};

constexpr std::array Parts {
    Part { "table", "/table/", &PlatformFaults::table },
    Part { "objects", "/objects/", &PlatformFaults::objects },
    Part { "instances", "/instances", &PlatformFaults::instances },
    Part { "cloud", "/cloud/", &PlatformFaults::cloud },
};

PartState parseState(const std::string &text)
{
    if (text == "up")
        return PartState::Up;
    if (text == "down")
        return PartState::Down;
    if (text == "slow")
        return PartState::Slow;
    throw std::invalid_argument("the state of a part must be up, down or slow");
}

} // namespace

void PlatformFaults::change(const boost::json::object &body)
{
    PlatformFaults changed = *this;
    for (const auto &part : Parts) {
        if (body.contains(part.name))
            changed.*part.state = parseState(textField(body, part.name));
    }
    changed.slow = millisecondsField(body, "slow_ms", slow);
    changed.listLag = millisecondsField(body, "list_lag_ms", listLag);
    changed.loseAnswers = integerField(body, "lose_answers", loseAnswers);
    changed.refuseStarts = flagField(body, "refuse_starts", refuseStarts);
    *this = changed;
}

PartState PlatformFaults::stateOf(std::string_view path) const
{
    for (const auto &part : Parts) {
        if (path.starts_with(part.pathPrefix))
            return this->*part.state;
    }
    return PartState::Up;
}

} // namespace snipestall::standins
