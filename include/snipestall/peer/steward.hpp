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

struct StewardOptions
{
    std::chrono::milliseconds term { 10000 };
    /// Orders stop this long before the lease ends.
    std::chrono::milliseconds safetyMargin { 3000 };
    /// Longest time that one order can be on its way; a new holder waits it out.
    std::chrono::milliseconds longestOrder { 2000 };
    std::chrono::milliseconds renewEvery { 3000 };
};

/// The lease on one data centre's orders, a row of the platform's table with a fencing number that
/// only grows:
///
///     stewards/<data centre>   {"holder":..,"incarnation":..,"fencing":N,"term_ms":..}
///
/// The holder counts its lease from before it sent the renewal, on the monotonic clock.
class Steward
{
public:
    static std::unique_ptr<Steward> create(boost::asio::io_context &io,
                                           platform::TableService &table, const Clock &clock,
                                           std::string dataCentre, std::string instance,
                                           std::uint64_t incarnation, StewardOptions options = {});
    ~Steward();

    /// Takes and renews the lease until stop().
    void start();
    /// Gives the lease back if it is held.
    wire::Task<void> stop();

    /// The fencing number, if an order may be sent at this very moment; asked right before each.
    [[nodiscard]] std::optional<std::uint64_t> mayOrder() const;

private:
    struct State;
    explicit Steward(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::peer
