#pragma once

#include "common/route_table.hpp"
#include "service/run_log.hpp"

#include "snipestall/base/clock.hpp"
#include "snipestall/wire/http_exchange.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace snipestall::standins {

struct ServiceOptions
{
    std::string name;
    std::string dataCentre;
    std::string service;
    std::string instanceClass;
    std::uint64_t incarnation = 0;
    std::size_t slots = 8;
    std::chrono::milliseconds work { 5 };
    std::string runsFile;
};

/// A plain service over HTTP that keeps a ledger; see docs/design/standin-protocols.md.
class LedgerService
{
public:
    LedgerService(boost::asio::io_context &io, ServiceOptions options);

    wire::Task<void> serve(wire::HttpExchange &exchange);
    /// Called when a reclaim's notice has passed.
    void onTaken(std::function<void()> callback) { m_onTaken = std::move(callback); }
    [[nodiscard]] const ServiceOptions &options() const { return m_options; }

private:
    static std::span<const Route<LedgerService>> routes();

    wire::Task<void> call(wire::HttpExchange &exchange);
    wire::HttpResponse load(const wire::HttpRequest &request);
    wire::HttpResponse runs(const wire::HttpRequest &request);
    wire::HttpResponse control(const wire::HttpRequest &request);
    wire::HttpResponse reclaim(const wire::HttpRequest &request);
    wire::Task<void> leaveAfter(std::chrono::milliseconds notice);
    [[nodiscard]] Run runOf(const wire::HttpRequest &request) const;

    boost::asio::io_context &m_io;
    ServiceOptions m_options;
    RunLog m_runs;
    std::size_t m_running = 0;
    std::int64_t m_cutNext = 0;
    /// Cut before the call takes effect.
    std::int64_t m_dropNext = 0;
    /// Answered as another attempt's, with another receipt.
    std::int64_t m_strangerNext = 0;
    std::optional<SteadyTime> m_noticed;
    SteadyTime m_noticeEnd {};
    std::function<void()> m_onTaken;
};

} // namespace snipestall::standins
