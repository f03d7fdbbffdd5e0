#pragma once

#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace snipestall {
class Clock;
}
namespace snipestall::platform {
class TableService;
}

namespace snipestall::peer {

/// Timing of the steward's lease.
struct StewardOptions
{
    /// Duration of the lease, counted from each renewal.
    std::chrono::milliseconds term { 10000 };
    /// The holder stops sending orders this long before its lease ends.
    std::chrono::milliseconds safetyMargin { 3000 };
    /// Longest time that an order can take to arrive. A new holder waits this long before its first
    /// order.
    std::chrono::milliseconds maxOrderDelay { 2000 };
    std::chrono::milliseconds renewInterval { 3000 };
};

/// The lease for one data centre's orders. It is a row of the platform's table with a fencing token
/// that only increases:
///
///     stewards/<data centre>   {"holder":..,"incarnation":..,"fencing":N,"term_ms":..}
///
/// The holder counts its lease from the time just before it sent the renewal, by the monotonic
/// clock.
class Steward
{
public:
    static std::unique_ptr<Steward> create(boost::asio::io_context &io,
                                           platform::TableService &table, const Clock &clock,
                                           std::string dataCentre, std::string instance,
                                           std::uint64_t incarnation, StewardOptions options = {});
    ~Steward();

    /// Acquires and renews the lease until stop().
    void start();
    /// Stops, and releases the lease if it is held.
    wire::Task<void> stop();

    /// The fencing token if an order may be sent at this moment, otherwise no value. To be called
    /// immediately before each order.
    [[nodiscard]] std::optional<std::uint64_t> mayOrder() const;

private:
    struct State;
    explicit Steward(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::peer
