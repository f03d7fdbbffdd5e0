#pragma once

#include "common/registration.hpp"
#include "common/route_table.hpp"
#include "common/value_history.hpp"
#include "engine/attempt_log.hpp"
#include "engine/batch.hpp"
#include "engine/engine_faults.hpp"
#include "engine/engine_options.hpp"
#include "engine/kv_store.hpp"
#include "engine/order_log.hpp"
#include "engine/prefix_cache.hpp"

#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/http_exchange.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace snipestall::standins {

/// State of an engine that its load report shows.
struct LoadReport
{
    std::vector<std::string> models;
    std::size_t running = 0;
    std::size_t queued = 0;
    bool leaving = false;
};

/// A stand-in for a model engine with an HTTP interface; see docs/design/standin-protocols.md.
class Engine
{
public:
    Engine(boost::asio::io_context &io, EngineOptions options,
           std::optional<wire::Endpoint> platform);

    /// Sets the IP:PORT from which exported KV is fetched. It is known only once that listener is
    /// open.
    void setKvAddress(std::string address) { m_kvAddress = std::move(address); }
    /// Sets the callback that runs when the notice of a reclaim has expired and every stream is
    /// cut.
    void onReclaimed(std::function<void()> callback) { m_onReclaimed = std::move(callback); }

    wire::Task<void> run();
    wire::Task<void> serve(wire::HttpExchange &exchange);
    /// Serves exported KV. Its listener stays open for `kvTtl` after the engine was reclaimed.
    wire::Task<void> serveKv(wire::HttpExchange &exchange);
    [[nodiscard]] const EngineOptions &options() const { return m_options; }

private:
    static std::span<const Route<Engine>> routes();

    wire::Task<void> complete(wire::HttpExchange &exchange);
    AttemptPtr parseAttempt(const wire::HttpRequest &request);
    [[nodiscard]] std::optional<wire::HttpResponse> refusal(const Attempt &attempt) const;
    wire::Task<void> importKv(AttemptPtr attempt);
    wire::Task<void> stream(wire::HttpExchange &exchange, AttemptPtr attempt);
    wire::Task<void> writeTokens(wire::HttpExchange &exchange, AttemptPtr attempt);
    wire::Task<void> writeEnd(wire::HttpExchange &exchange, AttemptPtr attempt);
    void close(const AttemptPtr &attempt, AttemptState outcome);
    void crashIfMarked(const Attempt &attempt) const;

    wire::HttpResponse cancel(const wire::HttpRequest &request);
    wire::Task<void> exportKv(wire::HttpExchange &exchange);
    wire::HttpResponse load(const wire::HttpRequest &request);
    wire::HttpResponse cacheEvents(const wire::HttpRequest &request);
    wire::HttpResponse acceptOrder(const wire::HttpRequest &request);
    wire::HttpResponse listOrders(const wire::HttpRequest &request);
    wire::HttpResponse control(const wire::HttpRequest &request);
    wire::HttpResponse reclaim(const wire::HttpRequest &request);
    wire::HttpResponse attempts(const wire::HttpRequest &request);

    wire::Task<void> loadModel(std::string model);
    wire::Task<void> leaveAfter(std::chrono::milliseconds notice);
    void recordLoad();

    boost::asio::io_context &m_io;
    EngineOptions m_options;
    std::optional<wire::Endpoint> m_platform;
    wire::HttpClient m_client;
    PrefixCache m_cache;
    Batch m_batch;
    AttemptLog m_log;
    KvStore m_kv;
    OrderLog m_orders;
    EngineFaults m_faults;
    std::vector<std::string> m_models;
    std::string m_kvAddress;
    std::function<void()> m_onReclaimed;
    ValueHistory<LoadReport> m_loadHistory;
    std::optional<SteadyTime> m_noticedAt;
    SteadyTime m_noticeEndsAt {};
    bool m_reclaimed = false;
};

} // namespace snipestall::standins
