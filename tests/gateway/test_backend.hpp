#pragma once

#include "snipestall/wire/http_exchange.hpp"
#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"
#include "snipestall/wire/http_server.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// A backend server that answers as it is told and remembers what it ran.
class TestBackend
{
public:
    static constexpr int EventsBeforeCrash = 3;
    static constexpr int AllEvents = 6;

    enum class Behaviour {
        Serve,
        SayNotRun,
        LoseAnswer,
        /// Works on the request without an end.
        Hang,
        Fail,
        /// Says that it is not the server that was meant.
        OtherServer,
        /// Streams without an end until the run is moved away; goes on with a run moved here.
        Stream,
        /// Streams `EventsBeforeCrash` events, then breaks off.
        CrashAfterEvents,
        /// Streams the events that follow, up to `AllEvents`, and ends.
        StreamRest,
        /// The same as one body with a length.
        RestWithLength,
        /// Ends a stream without an event.
        NoEvents,
        /// Streams under another status of success.
        OtherStatus,
        /// Answers with a plain text.
        PlainText,
        /// Sends more than is held back of a plain body, then breaks off.
        LargeBodyThenCrash,
        /// Ends as a process does that runs a request which crashes it: the connection breaks and
        /// nobody listens any more.
        End,
        /// The same after `EventsBeforeCrash` events.
        EndAfterEvents,
    };

    TestBackend(boost::asio::io_context &io, std::string id)
        : m_id(std::move(id))
    {
        auto server = wire::HttpServer::create(
            io, { "127.0.0.1", 0 },
            [this](wire::HttpExchange &exchange) -> wire::Task<void> { co_await serve(exchange); });
        m_server = std::move(server.value());
    }

    [[nodiscard]] std::string entry(const std::string &state = R"("ready")",
                                    int incarnation = 1) const
    {
        return R"({"service":"ledger","zone":"east","slotCount":4,"born":)"
            + std::to_string(incarnation) + R"(,"state":)" + state + R"(,"address":")" + address()
            + "\"}";
    }
    [[nodiscard]] std::string address() const { return m_server->endpoint().toString(); }
    [[nodiscard]] int events() const { return m_events; }
    [[nodiscard]] int misdirected() const { return m_misdirected; }
    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] bool ended() const { return m_ended; }
    void behave(Behaviour behaviour) { m_behaviour = behaviour; }
    /// What it does with a run that goes on after some event.
    void behaveWhenResumed(Behaviour behaviour) { m_whenResumed = behaviour; }
    [[nodiscard]] const std::vector<wire::HttpRequest> &ran() const { return m_ran; }
    [[nodiscard]] const std::vector<wire::HttpRequest> &moves() const { return m_moves; }

private:
    wire::Task<void> serve(wire::HttpExchange &exchange);
    wire::Task<void> serveMove(wire::HttpExchange &exchange);
    wire::Task<void> run(wire::HttpExchange &exchange, Behaviour behaviour);
    void end(wire::HttpExchange &exchange);
    wire::Task<void> stream(wire::HttpExchange &exchange, wire::HttpResponse response);
    /// Events after the one at which the run goes on, up to `last`.
    wire::Task<void> streamUpTo(int last, wire::HttpExchange &exchange,
                                wire::HttpResponse response);

    std::string m_id;
    std::unique_ptr<wire::HttpServer> m_server;
    std::vector<wire::HttpRequest> m_moves;
    int m_events = 0;
    int m_misdirected = 0;
    bool m_stopped = false;
    bool m_ended = false;
    Behaviour m_behaviour = Behaviour::Serve;
    std::optional<Behaviour> m_whenResumed;
    std::vector<wire::HttpRequest> m_ran;
};

} // namespace snipestall::gateway
