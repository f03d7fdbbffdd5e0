#include "server_probe.hpp"

#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/signal.hpp"

#include <chrono>
#include <utility>

namespace snipestall::entry {

namespace {

using std::chrono::milliseconds;

/// A server that lives answers within some round trips.
constexpr milliseconds ProbeTimeout { 300 };
/// Between two probes; the end of a process takes some tens of milliseconds on a busy machine.
constexpr milliseconds ProbePause { 20 };
constexpr int MostProbes = 15;

} // namespace

wire::Task<bool> hasEnded(wire::HttpClient &http, wire::Endpoint server)
{
    wire::HttpCallOptions options;
    options.connectTimeout = ProbeTimeout;
    options.idleTimeout = ProbeTimeout;
    options.freshConnection = true;
    for (int i = 0; i < MostProbes; ++i) {
        wire::HttpRequest probe;
        probe.target = "/load";
        const auto answer = co_await http.fetch(server, std::move(probe), options);
        if (answer || answer.error().kind == ErrorKind::DeadlineExceeded)
            co_return false;
        if (answer.error().kind == ErrorKind::Unavailable)
            co_return true;
        co_await wire::sleepFor(ProbePause);
    }
    co_return false;
}

} // namespace snipestall::entry
