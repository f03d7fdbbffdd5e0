#pragma once

#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace snipestall::standins {

enum class Direction {
    ToTarget,
    ToClient,
};

/// Faults and counters shared by all connections of one proxy.
class FaultState
{
public:
    explicit FaultState(boost::asio::io_context &io);

    /// Changes the faults that the body names and keeps the others. Throws std::invalid_argument
    /// for an invalid field.
    void change(const boost::json::object &body);

    [[nodiscard]] std::chrono::milliseconds delay() const { return m_delay; }
    [[nodiscard]] bool refuses() const { return m_refuse; }
    [[nodiscard]] bool drops(Direction direction) const { return flow(direction).drop; }
    /// Waits until the proxy is not frozen.
    wire::Task<void> waitWhileFrozen();

    /// Returns how many of `bytes` may pass before a requested cut.
    [[nodiscard]] std::size_t allowedBytes(Direction direction, std::size_t bytes) const;
    /// Counts bytes that were passed on. Returns true if the connection must be cut now. Each
    /// request for a cut cuts only one connection.
    bool countPassed(Direction direction, std::size_t bytes);
    void countDropped(Direction direction, std::size_t bytes)
    {
        flow(direction).droppedBytes += bytes;
    }
    void countConnection() { ++m_connections; }
    [[nodiscard]] boost::json::object counters() const;

private:
    struct Flow
    {
        bool drop = false;
        std::optional<std::size_t> bytesToCut;
        std::uint64_t bytes = 0;
        std::uint64_t droppedBytes = 0;
    };

    Flow &flow(Direction direction) { return m_flows.at(static_cast<std::size_t>(direction)); }
    [[nodiscard]] const Flow &flow(Direction direction) const
    {
        return m_flows.at(static_cast<std::size_t>(direction));
    }

    std::array<Flow, 2> m_flows;
    std::chrono::milliseconds m_delay { 0 };
    bool m_freeze = false;
    bool m_refuse = false;
    std::uint64_t m_connections = 0;
    boost::asio::steady_timer m_freezeEnded;
};

} // namespace snipestall::standins
