#pragma once

#include "common/lagged.hpp"
#include "common/registration.hpp"
#include "common/route_table.hpp"
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

/// What an engine reports about itself.
struct LoadReport
{
    std::vector<std::string> models;
    std::size_t running = 0;
    std::size_t queued = 0;
    bool leaving = false;
};

/// A model engine over HTTP; see docs/design/standin-protocols.md.
class Engine
{
public:
    Engine(boost::asio::io_context &io, EngineOptions options,
           std::optional<wire::Endpoint> platform);

    /// Where exported KV is fetched; known once its listener is open.
    void setKvAddress(std::string address) { m_kvAddress = std::move(address); }
    /// Called when a reclaim's notice has passed and every stream is cut.
    void onTaken(std::function<void()> callback) { m_onTaken = std::move(callback); }

    wire::Task<void> run();
    wire::Task<void> serve(wire::HttpExchange &exchange);
    /// The listener that outlives the engine by `kvTtl`.
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
    void close(const AttemptPtr &attempt, AttemptEnd how);
    void crashIfMarked(const Attempt &attempt) const;

    wire::HttpResponse cancel(const wire::HttpRequest &request);
    wire::Task<void> exportKv(wire::HttpExchange &exchange);
    wire::HttpResponse load(const wire::HttpRequest &request);
    wire::HttpResponse cacheEvents(const wire::HttpRequest &request);
    wire::HttpResponse takeOrder(const wire::HttpRequest &request);
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
    std::function<void()> m_onTaken;
    Lagged<LoadReport> m_load;
    std::optional<SteadyTime> m_noticed;
    SteadyTime m_noticeEnd {};
    bool m_taken = false;
};

} // namespace snipestall::standins
