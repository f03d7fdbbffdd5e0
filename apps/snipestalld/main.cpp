#include "snipestall/admin/admin_api.hpp"
#include "snipestall/admin/metrics.hpp"
#include "snipestall/admin/node_totals.hpp"
#include "snipestall/admin/request_metrics.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/entry/local_settings.hpp"
#include "snipestall/entry/node.hpp"
#include "snipestall/entry/request_store.hpp"

#include "snipestall/wire/http_server.hpp"
#include "snipestall/wire/spawn.hpp"

#include "node_status.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(settings, "", "path of the local settings file (YAML); see docs/operations.md");
DEFINE_bool(check, false, "check the local settings file, report its faults and exit");

namespace {

using snipestall::logEvent;
using snipestall::entry::LocalSettings;
using snipestall::entry::Node;
namespace events = snipestall::events;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;

std::optional<LocalSettings> readSettings()
{
    std::ifstream file(FLAGS_settings);
    if (!file) {
        std::cerr << "cannot read '" << FLAGS_settings << "'; give the file with --settings\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto local = LocalSettings::parse(text.str());
    if (local)
        return std::move(*local);
    for (const auto &fault : local.error()) {
        logEvent(
            events::SettingsFaulty,
            { { "path", fault.path }, { "found", fault.found }, { "allowed", fault.allowed } });
    }
    return std::nullopt;
}

int run(LocalSettings local)
{
    boost::asio::io_context io(1);
    // Must outlive the node, because requests report to the metrics until they are destroyed.
    const auto metrics = snipestall::admin::Metrics::create();
    auto node = Node::create(io, std::move(local));
    if (!node) {
        logEvent(events::ListenFailed, { { "error", node.error().message } });
        return ExitFailed;
    }
    const NodeStatus status(**node);
    (*node)->requests().observe(
        snipestall::admin::RequestMetrics::create(*metrics, (*node)->settings()));
    const auto beforeMetrics = [&node, &metrics] {
        metrics->setTotals(snipestall::admin::collectTotals(**node));
    };
    const auto drain = [&node, &io] { (*node)->drain(std::nullopt, [&io] { io.stop(); }); };
    const LocalSettings &own = (*node)->local();
    auto api = snipestall::admin::AdminApi::create(
        { &(*node)->settingsStore(), &(*node)->settings(), &status, &(*node)->clock(),
          metrics->registry(), drain, own.bootstrapKeyHash, beforeMetrics });
    if (!api) {
        logEvent(events::ListenFailed, { { "error", api.error().message } });
        return ExitFailed;
    }
    auto server = snipestall::wire::HttpServer::create(io, own.operators, (*api)->handler());
    if (!server) {
        logEvent(events::ListenFailed, { { "error", server.error().message } });
        return ExitFailed;
    }
    (*node)->start();
    logEvent(events::ProcessStarted,
             { { "instance", (*node)->local().instance },
               { "callers", (*node)->local().callers.toString() } });
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](const boost::system::error_code &ec, int) {
            if (ec)
                return;
            drain();
            waitForSignal();
        });
    };
    waitForSignal();
    snipestall::wire::runLoop(io);
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Runs one entry instance of snipestall with all its roles.\n"
                            "  snipestalld --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    snipestall::initLog(snipestall::LogFormat::Text, snipestall::Severity::Info);
    auto local = readSettings();
    if (!local)
        return ExitBadInput;
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": ok\n";
        return ExitOk;
    }
    snipestall::initLog(local->logFormat, local->logLevel);
    return run(std::move(*local));
}
