#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway.hpp"
#include "snipestall/wire/spawn.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <sstream>

#include <malloc.h>

DEFINE_string(settings, "",
              "settings file (YAML); default: the path in the variable of --settings_variable");
DEFINE_string(settings_variable, "",
              "environment variable that holds the path of the settings file");
DEFINE_bool(check, false, "check the settings file, print its faults, and exit");

namespace {

using snipestall::logEvent;
using snipestall::gateway::Gateway;
using snipestall::gateway::GatewaySettings;
namespace events = snipestall::events;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;

std::string settingsPath()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char *path = std::getenv(FLAGS_settings_variable.c_str());
    return path == nullptr ? std::string() : path;
}

std::optional<GatewaySettings> readSettings()
{
    std::ifstream file(settingsPath());
    std::stringstream text;
    text << file.rdbuf();
    auto settings = GatewaySettings::parse(text.str());
    if (settings)
        return std::move(*settings);
    logEvent(events::SettingsFaulty,
             { { "file", settingsPath() }, { "error", settings.error().message } });
    return std::nullopt;
}

int run(GatewaySettings settings)
{
    boost::asio::io_context io(1);
    auto gateway = Gateway::create(io, settings);
    if (!gateway) {
        logEvent(events::ListenFailed, { { "error", gateway.error().message } });
        return ExitFailed;
    }
    (*gateway)->start();
    logEvent(events::ProcessStarted,
             { { "instance", settings.instance }, { "callers", settings.callers.toString() } });
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](const boost::system::error_code &error, int signal) {
            if (error)
                return;
            if (signal != SIGHUP)
                (*gateway)->drain();
            else if (const auto changed = readSettings())
                (*gateway)->settingsChanged(*changed);
            waitForSignal();
        });
    };
    waitForSignal();
    snipestall::wire::runLoop(io);
    // Neither the gateway nor the server for peers is destroyed: unfinished requests refer to the
    // gateway, and the server waits for calls that only this loop could answer.
    snipestall::finishLog();
    std::_Exit(ExitOk);
}

/// Has the allocator return the memory of large bodies to the kernel as soon as they are freed. By
/// default it raises this threshold with the first large body, and keeps what the next ones free.
void returnFreedMemory()
{
    constexpr int LargeBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, LargeBytes);
}

} // namespace

int main(int argc, char **argv)
{
    returnFreedMemory();
    gflags::SetUsageMessage("runs one gateway instance of snipestall\n"
                            "  snipestall-gateway [--settings FILE] [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    snipestall::initLog(snipestall::LogFormat::Json, snipestall::Severity::Info);
    auto settings = readSettings();
    if (!settings)
        return ExitBadInput;
    if (FLAGS_check) {
        std::cout << settingsPath() << ": ok\n";
        return ExitOk;
    }
    return run(std::move(*settings));
}
