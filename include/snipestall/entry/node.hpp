#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/entry/local_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace snipestall {
class Clock;
}
namespace snipestall::peer {
class Membership;
class PeerNetwork;
class SettingsKeeper;
class SettingsStore;
class Steward;
struct ClaimCounters;
} // namespace snipestall::peer
namespace snipestall::platform {
class HttpPlatform;
}

namespace snipestall::entry {

class BackendDirectory;
class Dispatcher;
class PolicyLoop;
class RequestStore;

/// One entry instance with all its roles. This class is the library's interface for the daemon.
///
///     auto node = Node::create(io, local);
///     (*node)->start();
///     io.run();
class Node
{
public:
    /// Opens the listeners for callers and peers; returns Unavailable if one cannot be opened.
    static Result<std::unique_ptr<Node>> create(boost::asio::io_context &io, LocalSettings local);
    ~Node();

    void start();
    /// Stops gracefully: new requests are refused, requests in progress run to their end. With a
    /// notice, requests that have not ended shortly before the notice expires are handed over to
    /// other instances. `done` runs once, when the drain is complete. A further call replaces the
    /// notice and `done` if it gives them.
    void drain(std::optional<std::chrono::milliseconds> notice, std::function<void()> done);
    [[nodiscard]] bool draining() const;

    // Accessors for the operators' API and for metrics.
    [[nodiscard]] const LocalSettings &local() const;
    [[nodiscard]] std::uint64_t incarnation() const;
    [[nodiscard]] const Clock &clock() const;
    peer::SettingsKeeper &settings();
    peer::SettingsStore &settingsStore();
    peer::Membership &members();
    peer::PeerNetwork &network();
    platform::HttpPlatform &platform();
    peer::Steward &steward();
    BackendDirectory &backends();
    RequestStore &requests();
    Dispatcher &dispatcher();
    PolicyLoop &policy();
    [[nodiscard]] peer::ClaimCounters claimCounters() const;

private:
    struct State;
    explicit Node(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::entry
