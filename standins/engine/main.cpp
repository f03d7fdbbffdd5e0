#include "common/program.hpp"
#include "engine/engine.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gflags/gflags.h>

#include <sstream>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on");
DEFINE_string(port_file, "", "file to write the bound port to");
DEFINE_string(advertise, "",
              "IP:PORT to register, such as that of a proxy; empty: the address listened on");
DEFINE_string(platform, "", "IP:PORT of the platform to register with; empty: no registration");
DEFINE_string(name, "engine", "name in the instance list");
DEFINE_string(data_centre, "", "data centre of the instance");
DEFINE_string(service, "", "service that the instance belongs to");
DEFINE_string(class, "reclaimable", "instance class");
DEFINE_string(models, "", "models that are loaded at startup, comma-separated");
DEFINE_uint64(incarnation, 0, "incarnation number; 0: taken from the clock");
DEFINE_uint64(slots, 8, "maximum number of streams in the batch");
DEFINE_uint64(queue, 16, "maximum number of requests that wait for a slot");
DEFINE_double(token_ms, 10, "duration of a decoding step with one stream, in ms");
DEFINE_double(batch_slope, 0.02, "fraction by which each further stream lengthens a step");
DEFINE_double(prefill_us_per_token, 50, "prefill time per token, in us");
DEFINE_uint64(cache_blocks, 4096, "capacity of the prefix cache, in blocks of 64 characters");
DEFINE_int64(report_lag_ms, 100, "age of the load reports, in ms");
DEFINE_int64(cache_event_lag_ms, 200, "delay until cache events are published, in ms");
DEFINE_double(cache_event_gap, 0.02, "fraction of cache events that are never published");
DEFINE_int64(export_ms, 50, "duration of a KV export, in ms");
DEFINE_int64(import_ms, 20, "duration of a KV import, in ms");
DEFINE_int64(kv_ttl_ms, 2000,
             "time that exports stay available after the engine was reclaimed, in ms");
DEFINE_bool(checks_fencing, true, "refuse orders with an outdated fencing token");
DEFINE_uint64(seed, 1, "random seed that selects the cache events that are not published");
DEFINE_string(attempts_file, "", "file to append a JSON line to when an attempt arrives or ends");

using namespace snipestall;

namespace {

template<typename Unit>
std::chrono::nanoseconds fraction(double count)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double, typename Unit::period>(count));
}

std::vector<std::string> splitModels()
{
    std::vector<std::string> models;
    std::istringstream text(FLAGS_models);
    for (std::string model; std::getline(text, model, ',');)
        models.push_back(model);
    return models;
}

standins::EngineOptions optionsFromFlags()
{
    standins::EngineOptions options;
    options.name = FLAGS_name;
    options.dataCentre = FLAGS_data_centre;
    options.service = FLAGS_service;
    options.instanceClass = FLAGS_class;
    options.models = splitModels();
    options.incarnation =
        FLAGS_incarnation != 0 ? FLAGS_incarnation : standins::incarnationFromClock();
    options.slots = FLAGS_slots;
    options.queue = FLAGS_queue;
    options.tokenTime = fraction<std::chrono::milliseconds>(FLAGS_token_ms);
    options.batchSlope = FLAGS_batch_slope;
    options.prefillPerToken = fraction<std::chrono::microseconds>(FLAGS_prefill_us_per_token);
    options.cacheBlocks = FLAGS_cache_blocks;
    options.reportLag = std::chrono::milliseconds(FLAGS_report_lag_ms);
    options.cacheEventLag = std::chrono::milliseconds(FLAGS_cache_event_lag_ms);
    options.cacheEventGap = FLAGS_cache_event_gap;
    options.exportTime = std::chrono::milliseconds(FLAGS_export_ms);
    options.importTime = std::chrono::milliseconds(FLAGS_import_ms);
    options.kvTtl = std::chrono::milliseconds(FLAGS_kv_ttl_ms);
    options.checksFencing = FLAGS_checks_fencing;
    options.seed = FLAGS_seed;
    options.attemptsFile = FLAGS_attempts_file;
    return options;
}

/// Runs one engine as a process: its two listeners, its registration and its shutdown.
class EngineProcess
{
public:
    EngineProcess(boost::asio::io_context &io, const standins::EngineOptions &options,
                  const std::optional<wire::Endpoint> &platform)
        : m_io(io)
        , m_engine(io, options, platform)
        , m_registration(io, platform)
    {
        m_kvServer =
            standins::listenOrExit(io, "127.0.0.1:0", {}, [this](wire::HttpExchange &exchange) {
                return m_engine.serveKv(exchange);
            });
        m_engine.setKvAddress(m_kvServer->endpoint().toString());
        m_engine.onReclaimed([this] { spawn(leave()); });
        m_server = standins::listenOrExit(
            io, FLAGS_listen, FLAGS_port_file,
            [this](wire::HttpExchange &exchange) { return m_engine.serve(exchange); });
    }

    void run()
    {
        spawn(m_engine.run());
        spawn(m_registration.add(instanceRecord()));
        standins::runUntilSignal(m_io, [this] { spawn(stop()); });
    }

private:
    void spawn(wire::Task<void> task)
    {
        boost::asio::co_spawn(m_io, std::move(task), boost::asio::detached);
    }

    [[nodiscard]] standins::InstanceRecord instanceRecord() const
    {
        const auto &options = m_engine.options();
        std::string address =
            FLAGS_advertise.empty() ? m_server->endpoint().toString() : FLAGS_advertise;
        return { options.name,       options.incarnation, std::move(address),
                 options.dataCentre, options.service,     options.instanceClass };
    }

    wire::Task<void> stop()
    {
        m_server->stopAccepting();
        co_await m_registration.remove(m_engine.options().name);
        m_io.stop();
    }

    // KV exports stay available for `kvTtl` after the engine has left, as if another machine held
    // them in memory.
    wire::Task<void> leave()
    {
        m_server->stopAccepting();
        co_await m_registration.remove(m_engine.options().name);
        co_await wire::sleepFor(m_engine.options().kvTtl);
        m_io.stop();
    }

    boost::asio::io_context &m_io;
    standins::Engine m_engine;
    standins::Registration m_registration;
    std::unique_ptr<wire::HttpServer> m_kvServer;
    std::unique_ptr<wire::HttpServer> m_server;
};

} // namespace

int main(int argc, char **argv)
{
    standins::parseFlags(argc, argv, "stand-in for a streaming model engine");
    boost::asio::io_context io;
    std::optional<wire::Endpoint> platform;
    if (!FLAGS_platform.empty())
        platform = standins::endpointOrExit(FLAGS_platform);
    EngineProcess process(io, optionsFromFlags(), platform);
    process.run();
    return 0;
}
