#pragma once

#include "snipestall/base/random.hpp"
#include "snipestall/wire/http_exchange.hpp"
#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"
#include "snipestall/wire/http_server.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// A backend server that answers with a selected behaviour and records the requests that it ran.
class TestBackend
{
public:
    static constexpr int EventsBeforeCrash = 3;
    static constexpr int AllEvents = 6;

    enum class Behaviour {
        Serve,
        SayNotRun,
        /// Holds requests until another behaviour is selected, and says then that they didn't run.
        HoldThenSayNotRun,
        LoseAnswer,
        /// Runs the request without ever answering.
        Hang,
        Fail,
        /// Answers that it is not the server that the request was addressed to.
        OtherServer,
        /// Streams without end until the run is moved away; continues a run that was moved here.
        Stream,
        /// Streams `EventsBeforeCrash` events, then closes the connection.
        CrashAfterEvents,
        /// Streams the events after the one that the run resumes from, up to `AllEvents`, and ends.
        StreamRest,
        /// Like `StreamRest`, but sends one body with a length.
        RestWithLength,
        /// Ends a stream without sending an event.
        NoEvents,
        /// Like `StreamRest`, but with another success status.
        OtherStatus,
        /// Answers with plain text.
        PlainText,
        /// Answers with a status that has no body.
        NoContent,
        NotModified,
        /// Sends more of a plain body than a gateway holds back, then closes the connection.
        LargeBodyThenCrash,
        /// Ends like a process that is crashed by the request it runs: the connection breaks and
        /// the port is no longer open.
        End,
        /// Like `End`, but after `EventsBeforeCrash` events.
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
        const std::string version = m_version.empty() ? "" : R"(,"version":")" + m_version + "\"";
        return R"({"service":")" + m_service + R"(","zone":"east","slotCount":4,"born":)"
            + std::to_string(incarnation) + R"(,"state":)" + state + version + R"(,"address":")"
            + address() + "\"}";
    }
    /// Sets the version of the software, which is listed and written into each event.
    void setVersion(std::string version) { m_version = std::move(version); }
    [[nodiscard]] const std::string &version() const { return m_version; }
    void setService(std::string service) { m_service = std::move(service); }
    [[nodiscard]] std::string address() const { return m_server->endpoint().toString(); }
    [[nodiscard]] int events() const { return m_events; }
    [[nodiscard]] int misdirected() const { return m_misdirected; }
    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] bool ended() const { return m_ended; }
    void behave(Behaviour behaviour) { m_behaviour = behaviour; }
    /// Sets the behaviour for requests that resume a stream after an event.
    void behaveWhenResumed(Behaviour behaviour) { m_whenResumed = behaviour; }
    /// Ends like a process that crashes as it begins to write the answer to a request whose prompt
    /// has this part.
    void endOnPart(std::string part) { m_endingPart = std::move(part); }
    /// Names this limit in every answer; nothing lifts it.
    void nameLimit(std::optional<std::string> requestsPerSecond)
    {
        m_limit = std::move(requestsPerSecond);
    }
    /// Rejects this share of the requests with a request for rest, whose text is drawn from
    /// `rests`; a share of 0 ends that.
    void askForRest(double share, std::vector<std::string> rests = {})
    {
        m_shedShare = share;
        m_rests = std::move(rests);
    }
    /// Says in all answers that it leaves, although its entry does not.
    void sayItLeaves(bool leaving = true) { m_saysItLeaves = leaving; }
    /// Runs this many requests at a time, each for some time, rejects those beyond and says in all
    /// answers that it fails if it rejects more than a few in a second.
    void limitSlots(int slots, std::chrono::milliseconds work, std::string rejectionLimit)
    {
        m_slots = slots;
        m_work = work;
        m_rejectionLimit = std::move(rejectionLimit);
    }
    /// A request that arrived, whether it was run or not.
    struct Arrival
    {
        std::string attempt;
        std::chrono::steady_clock::time_point time;
        /// The rest that the answer asked for, as its text.
        std::optional<std::string> rest;
    };
    [[nodiscard]] const std::vector<Arrival> &received() const { return m_received; }
    /// Times at which requests were rejected for want of a slot.
    [[nodiscard]] const std::vector<std::chrono::steady_clock::time_point> &rejections() const
    {
        return m_rejections;
    }
    /// Times at which requests arrived, whether they were run or not.
    [[nodiscard]] const std::vector<std::chrono::steady_clock::time_point> &arrivals() const
    {
        return m_arrivals;
    }
    [[nodiscard]] const std::vector<wire::HttpRequest> &ran() const { return m_ran; }
    [[nodiscard]] const std::vector<wire::HttpRequest> &moves() const { return m_moves; }

private:
    wire::Task<void> serve(wire::HttpExchange &exchange);
    /// Draws the rest that the next answer asks for.
    [[nodiscard]] std::optional<std::string> drawRest();
    /// The header fields of any answer.
    [[nodiscard]] wire::HttpResponse answerTo(const wire::HttpRequest &request) const;
    wire::Task<void> serveMove(wire::HttpExchange &exchange);
    /// Runs the request if a slot is free, rejects it otherwise.
    wire::Task<void> serveInSlot(wire::HttpExchange &exchange);
    wire::Task<void> run(wire::HttpExchange &exchange, Behaviour behaviour);
    void end(wire::HttpExchange &exchange);
    wire::Task<void> stream(wire::HttpExchange &exchange, wire::HttpResponse response);
    /// Streams the events after the one that the run resumes from, up to `last`.
    wire::Task<void> streamUpTo(int last, wire::HttpExchange &exchange,
                                wire::HttpResponse response);

    [[nodiscard]] std::string eventText(int number) const;

    std::string m_id;
    std::string m_service = "ledger";
    std::string m_version;
    std::unique_ptr<wire::HttpServer> m_server;
    std::vector<wire::HttpRequest> m_moves;
    int m_events = 0;
    int m_misdirected = 0;
    bool m_stopped = false;
    bool m_ended = false;
    Behaviour m_behaviour = Behaviour::Serve;
    std::optional<Behaviour> m_whenResumed;
    std::string m_endingPart;
    std::optional<std::string> m_limit;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    std::vector<wire::HttpRequest> m_ran;
    Random m_random { 7 };
    double m_shedShare = 0;
    std::vector<std::string> m_rests;
    bool m_saysItLeaves = false;
    std::vector<Arrival> m_received;
    std::optional<int> m_slots;
    int m_running = 0;
    std::chrono::milliseconds m_work { 0 };
    std::string m_rejectionLimit;
    std::vector<std::chrono::steady_clock::time_point> m_rejections;
};

} // namespace snipestall::gateway
