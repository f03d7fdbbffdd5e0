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

/// A plain HTTP service that records which calls took effect; see docs/design/standin-protocols.md.
class LedgerService
{
public:
    LedgerService(boost::asio::io_context &io, ServiceOptions options);

    wire::Task<void> serve(wire::HttpExchange &exchange);
    /// Sets the callback that runs when the notice of a reclaim has expired.
    void onReclaimed(std::function<void()> callback) { m_onReclaimed = std::move(callback); }
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
    /// Number of next calls that take effect but whose connection is cut before the answer.
    std::int64_t m_answersToCut = 0;
    /// Number of next calls whose connection is cut before the call takes effect.
    std::int64_t m_callsToDrop = 0;
    /// Number of next calls that are answered with the id and receipt of another attempt.
    std::int64_t m_strangerAnswers = 0;
    std::optional<SteadyTime> m_noticedAt;
    SteadyTime m_noticeEndsAt {};
    std::function<void()> m_onReclaimed;
};

} // namespace snipestall::standins
