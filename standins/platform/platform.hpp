#pragma once

#include "common/pacer.hpp"
#include "common/route_table.hpp"
#include "platform/cloud.hpp"
#include "platform/platform_faults.hpp"
#include "platform/table.hpp"

#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/http_exchange.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace snipestall::standins {

/// Simulated rates of the platform, where 0 means no limit, and the size of a model's weights.
struct PlatformOptions
{
    double writesPerSecond = 0;
    double readsPerSecond = 0;
    double weightsMegabytes = 100;
    double weightsMegabytesPerSecond = 0;
};

/// A stand-in for the platform with an HTTP interface; see docs/design/standin-protocols.md.
class Platform
{
public:
    Platform(boost::asio::io_context &io, const PlatformOptions &options);

    wire::Task<void> serve(wire::HttpExchange &exchange);

private:
    struct Counters
    {
        std::uint64_t transactions = 0;
        std::uint64_t rowsWritten = 0;
        std::uint64_t reads = 0;
        std::uint64_t scans = 0;
        std::uint64_t starts = 0;
        std::uint64_t refusedStarts = 0;
        std::uint64_t lostAnswers = 0;
    };

    static std::span<const Route<Platform>> routes();

    wire::Task<void> transact(wire::HttpExchange &exchange);
    wire::Task<void> read(wire::HttpExchange &exchange);
    wire::Task<void> scan(wire::HttpExchange &exchange);
    wire::HttpResponse putObject(const wire::HttpRequest &request);
    wire::HttpResponse getObject(const wire::HttpRequest &request);
    wire::HttpResponse listInstances(const wire::HttpRequest &request);
    wire::HttpResponse addInstance(const wire::HttpRequest &request);
    wire::HttpResponse removeInstance(const wire::HttpRequest &request);
    wire::HttpResponse start(const wire::HttpRequest &request);
    wire::HttpResponse release(const wire::HttpRequest &request);
    wire::HttpResponse giveNotice(const wire::HttpRequest &request);
    wire::HttpResponse getNotice(const wire::HttpRequest &request);
    wire::Task<void> weights(wire::HttpExchange &exchange);
    wire::HttpResponse changeFaults(const wire::HttpRequest &request);
    wire::HttpResponse counters(const wire::HttpRequest &request);
    wire::HttpResponse starts(const wire::HttpRequest &request);

    wire::Task<void> forwardNotice(std::string address, std::string body);
    wire::Task<void> removeAfterNotice(std::string name, std::chrono::milliseconds left);

    boost::asio::io_context &m_io;
    PlatformOptions m_options;
    wire::HttpClient m_client;
    Table m_table;
    Cloud m_cloud;
    PlatformFaults m_faults;
    Counters m_counters;
    std::map<std::string, std::string> m_objects;
    Pacer m_writePacer;
    Pacer m_readPacer;
    Pacer m_weightPacer;
};

} // namespace snipestall::standins
