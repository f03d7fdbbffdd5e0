#include "server_probe.hpp"

#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/signal.hpp"

#include <chrono>
#include <utility>

namespace snipestall::entry {

namespace {

using std::chrono::milliseconds;

/// A running server responds within a few round trips.
constexpr milliseconds ProbeTimeout { 300 };
/// Time between two probes. The termination of a process takes some tens of milliseconds on a busy
/// machine.
constexpr milliseconds ProbeInterval { 20 };
constexpr int MaxProbes = 15;

} // namespace

wire::Task<bool> hasTerminated(wire::HttpClient &http, wire::Endpoint server)
{
    wire::HttpCallOptions options;
    options.connectTimeout = ProbeTimeout;
    options.idleTimeout = ProbeTimeout;
    options.freshConnection = true;
    for (int i = 0; i < MaxProbes; ++i) {
        wire::HttpRequest probe;
        probe.target = "/load";
        const auto answer = co_await http.fetch(server, std::move(probe), options);
        if (answer || answer.error().kind == ErrorKind::DeadlineExceeded)
            co_return false;
        if (answer.error().kind == ErrorKind::Unavailable)
            co_return true;
        co_await wire::sleepFor(ProbeInterval);
    }
    co_return false;
}

} // namespace snipestall::entry
