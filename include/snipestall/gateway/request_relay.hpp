#pragma once

#include "platform/caller_header.hpp"
#include "snipestall/gateway/attempt_watch.hpp"
#include "snipestall/gateway/backend_call.hpp"
#include "snipestall/gateway/caller_answer.hpp"
#include "snipestall/gateway/caller_link.hpp"
#include "snipestall/gateway/stream_move.hpp"
#include "snipestall/gateway/stream_watch.hpp"
#include "snipestall/serving/placement.hpp"
#include "snipestall/wire/event_splitter.hpp"
#include "snipestall/wire/task.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace snipestall::serving {
class Catalogue;
struct Customer;
struct Route;
} // namespace snipestall::serving

namespace snipestall::gateway {

class LoadClaim;
struct GatewayState;

/// Serves one request of a caller: checks it, sends it to backend servers one after the other as
/// far as its kind allows, and returns the answer.
class RequestRelay
{
public:
    RequestRelay(GatewayState &state, std::shared_ptr<CallerLink> caller);
    ~RequestRelay();

    /// Returns whether the caller's connection can carry another request.
    wire::Task<bool> run();
    /// Ends what runs for the request; its caller gets the answer that can be given now.
    void giveUp();
    /// For a request that the end of the process leaves without its final answer.
    void logCut() const;

private:
    /// How one attempt at a backend server ended.
    enum class AttemptEnd {
        /// The caller has its final answer, or can't get one any more.
        Final,
        /// The server did not run it.
        NotRun,
        /// It failed or its outcome is unknown.
        Failed,
        /// The time that the request has is over.
        TimedOut,
        /// Its run has been moved to another server and goes on there.
        Moved,
    };

    /// Waits, for a short time at most, until the process knows what it needs to serve.
    wire::Task<void> awaitStart();
    /// Refuses what may not be served; true if it goes on.
    wire::Task<bool> admit();
    wire::Task<void> serve();
    wire::Task<AttemptEnd> attempt(serving::Placed placed);
    wire::Task<AttemptEnd> takeAnswer(const serving::ServerStatePtr &server);
    wire::Task<AttemptEnd> relayWhole(const serving::ServerStatePtr &server);
    wire::Task<AttemptEnd> relayStream(const serving::ServerStatePtr &server);
    wire::Task<bool> passEvents(std::vector<wire::RawEvent> events);
    /// How an attempt ends whose answer ended before it was whole.
    AttemptEnd brokenOff(const BodyRead &piece, const serving::ServerStatePtr &server);
    void wholeAnswerCame(serving::ServerState &server);
    /// Reads an answer that can't follow what the caller has.
    wire::Task<AttemptEnd> dropAnswer(serving::ServerState &server);
    /// Head of the server's answer, as the caller gets it.
    [[nodiscard]] boost::beast::http::response_header<> answerHead();
    wire::Task<void> finishUnserved(AttemptEnd last);

    [[nodiscard]] BackendCall::Request serverRequest(const serving::ServerState &server) const;
    [[nodiscard]] bool mayTryAgain(AttemptEnd last);
    /// The server's answer broke off: it may have ended of this request.
    void noteBreak(const serving::ServerStatePtr &server);
    /// Waits, for a short time at most, until it is known here whether the last server has ended,
    /// and what copies of the request have ended elsewhere.
    wire::Task<void> awaitFate();
    /// Whether the caller still waits, the server still takes work, and the process has time for
    /// it.
    [[nodiscard]] bool maySend(const serving::ServerState &server);
    [[nodiscard]] bool timeIsUp() const;
    [[nodiscard]] double quotaUnits() const;
    [[nodiscard]] CallerLink::Answer ownAnswer(unsigned status) const;
    [[nodiscard]] CallerLink::Answer refusal(unsigned status,
                                             std::chrono::milliseconds retryAfter) const;
    wire::Task<void> answer(CallerLink::Answer answer, const char *reason);
    void firstByteCame();
    void noteLatency();
    void notePromptRead();
    void watchForStall(const serving::ServerStatePtr &server);
    void stopStallWatch();
    void watchForReclaim(const serving::ServerStatePtr &server);
    void stopReclaimWatch();
    void beginMove(const serving::ServerStatePtr &source);
    /// Waits for a move that is under way; true if the run goes on elsewhere.
    wire::Task<bool> wasMoved();
    serving::Placed takeMove();
    void callerLeft();
    void noteCallerLeft();
    /// Ends the caller's connection, so that a broken answer doesn't look complete.
    void breakOff(const char *reason);
    void logEnd(unsigned status, const char *reason) const;

    GatewayState &m_state;
    std::shared_ptr<CallerLink> m_caller;
    CallerAnswer m_answer;
    std::shared_ptr<const serving::Catalogue> m_catalogue;
    platform::CallerHeader m_header;
    const serving::Route *m_route = nullptr;
    const serving::Customer *m_customer = nullptr;
    serving::Demand m_demand;
    SteadyTime m_received;
    /// When the request must have its final answer.
    SteadyTime m_until;
    /// When the caller stops waiting.
    SteadyTime m_callerUntil;
    std::shared_ptr<BackendCall> m_call;
    /// The caller has all events up to this one.
    std::optional<std::uint64_t> m_lastEvent;
    /// A failure that a server answered, to be passed on if no repeat does better.
    std::optional<CallerLink::Answer> m_failure;
    SteadyTime m_sentAt;
    /// When the server's first byte of the present attempt came.
    std::optional<SteadyTime> m_firstByteAt;
    double m_unread = 0;
    double m_tokensAhead = 0;
    std::optional<AttemptWatch::Ticket> m_stallTicket;
    std::optional<StreamWatch::Ticket> m_streamTicket;
    std::shared_ptr<StreamMove> m_move;
    /// Where the memory of the run lies that the next attempt goes on with.
    std::string m_memoryFrom;
    std::uint64_t m_fingerprint = 0;
    /// Key of the server that broke off last.
    std::string m_brokeAt;
    /// The last server took no connection.
    bool m_turnedAway = false;
    int m_runs = 0;
    int m_sends = 0;
    /// Set while an attempt runs.
    LoadClaim *m_load = nullptr;
    bool m_maybeRan = false;
    bool m_counted = false;
    bool m_callerGone = false;
    /// The process ends before this request could.
    bool m_givenUp = false;
    bool m_keepAlive = true;
};

} // namespace snipestall::gateway
