#pragma once

#include "snipestall/wire/http_exchange.hpp"
#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"
#include "snipestall/wire/http_server.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace snipestall::gateway {

/// A model engine with slots and a queue. It admits the request with the lowest priority number
/// first, reads the prompts of admitted requests one after the other, streams events, and rejects
/// what does not fit into its queue without running it.
class QueueingEngine
{
public:
    static constexpr int Slots = 6;
    static constexpr std::size_t QueueLength = 12;
    static constexpr int Events = 12;
    /// Mean length of the prompts for which capacity() holds, unless another one is set.
    static constexpr double MeanPromptTokens = 4000;

    /// `slowness`: time that work takes here, relative to the usual.
    QueueingEngine(boost::asio::io_context &io, std::string id, double slowness);

    [[nodiscard]] const std::string &id() const { return m_id; }
    /// Its entry in the store.
    [[nodiscard]] std::string entry() const;
    /// Requests per second that its slots can carry; 0 after end().
    [[nodiscard]] double capacity() const;
    /// Reads prompts in a time for which capacity() holds at this mean length.
    void setMeanPrompt(double tokens) { m_meanPrompt = tokens; }
    /// Ends like a process that is killed: the port is closed and all connections break.
    void end();
    [[nodiscard]] bool ended() const { return m_ended; }
    /// Whether a request with this attempt id has got a slot.
    [[nodiscard]] bool hasRun(const std::string &attempt) const { return m_ran.contains(attempt); }
    [[nodiscard]] std::size_t runs() const { return m_ran.size(); }
    [[nodiscard]] int rejections() const { return m_rejections; }

private:
    using Seconds = std::chrono::duration<double>;
    /// Priority, then order of arrival.
    using Turn = std::pair<int, std::uint64_t>;

    wire::Task<void> serve(wire::HttpExchange &exchange);
    wire::Task<void> run(wire::HttpExchange &exchange);
    [[nodiscard]] bool mayBegin(const Turn &turn) const;
    [[nodiscard]] Seconds readTime(double tokens) const;
    [[nodiscard]] Seconds eventInterval() const;

    std::string m_id;
    double m_slowness;
    double m_meanPrompt = MeanPromptTokens;
    /// Notified when a slot is freed or a request leaves the queue.
    wire::Signal m_changed;
    std::set<Turn> m_waiting;
    std::set<std::string> m_ran;
    std::chrono::steady_clock::time_point m_readUntil;
    std::uint64_t m_arrivals = 0;
    int m_running = 0;
    int m_rejections = 0;
    bool m_ended = false;
    std::unique_ptr<wire::HttpServer> m_server;
};

} // namespace snipestall::gateway
