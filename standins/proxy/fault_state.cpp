#include "proxy/fault_state.hpp"

#include "common/json_fields.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <stdexcept>
#include <string>

namespace snipestall::standins {

namespace asio = boost::asio;

namespace {

struct DropChoice
{
    std::string_view name;
    bool toTarget;
    bool toClient;
};

constexpr std::array DropChoices {
    DropChoice { "none", false, false },
    DropChoice { "to_target", true, false },
    DropChoice { "to_client", false, true },
    DropChoice { "both", true, true },
};

const DropChoice &parseDrop(const std::string &text)
{
    for (const auto &choice : DropChoices) {
        if (choice.name == text)
            return choice;
    }
    throw std::invalid_argument("'drop' must be none, to_target, to_client or both");
}

/// A negative number cancels the requested cut.
std::optional<std::size_t> bytesField(const boost::json::object &body, std::string_view name)
{
    const std::int64_t bytes = integerField(body, name, -1);
    return bytes < 0 ? std::nullopt : std::optional<std::size_t>(bytes);
}

} // namespace

FaultState::FaultState(asio::io_context &io)
    : m_freezeEnded(io, asio::steady_timer::time_point::max())
{ }

void FaultState::change(const boost::json::object &body)
{
    if (body.contains("drop")) {
        const DropChoice &choice = parseDrop(textField(body, "drop"));
        flow(Direction::ToTarget).drop = choice.toTarget;
        flow(Direction::ToClient).drop = choice.toClient;
    }
    if (body.contains("cut_after_bytes_to_target"))
        flow(Direction::ToTarget).bytesToCut = bytesField(body, "cut_after_bytes_to_target");
    if (body.contains("cut_after_bytes_to_client"))
        flow(Direction::ToClient).bytesToCut = bytesField(body, "cut_after_bytes_to_client");
    m_delay = millisecondsField(body, "delay_ms", m_delay);
    m_refuse = flagField(body, "refuse", m_refuse);
    m_freeze = flagField(body, "freeze", m_freeze);
    if (!m_freeze)
        m_freezeEnded.cancel();
}

wire::Task<void> FaultState::waitWhileFrozen()
{
    while (m_freeze)
        co_await m_freezeEnded.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::size_t FaultState::allowedBytes(Direction direction, std::size_t bytes) const
{
    return std::min(bytes, flow(direction).bytesToCut.value_or(bytes));
}

bool FaultState::countPassed(Direction direction, std::size_t bytes)
{
    Flow &counted = flow(direction);
    counted.bytes += bytes;
    if (!counted.bytesToCut)
        return false;
    *counted.bytesToCut -= std::min(bytes, *counted.bytesToCut);
    if (*counted.bytesToCut > 0)
        return false;
    counted.bytesToCut.reset();
    return true;
}

boost::json::object FaultState::counters() const
{
    const Flow &toTarget = flow(Direction::ToTarget);
    const Flow &toClient = flow(Direction::ToClient);
    boost::json::object object;
    object["connections"] = m_connections;
    object["bytes_to_target"] = toTarget.bytes;
    object["bytes_to_client"] = toClient.bytes;
    object["dropped_to_target"] = toTarget.droppedBytes;
    object["dropped_to_client"] = toClient.droppedBytes;
    return object;
}

} // namespace snipestall::standins
