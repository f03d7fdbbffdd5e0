#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/entry/command_sink.hpp"
#include "snipestall/entry/request.hpp"
#include "snipestall/peer/messages.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace snipestall::peer {
class ClaimKeeper;
class ForwardCall;
class PeerNetwork;
class RecordKeeper;
} // namespace snipestall::peer
namespace snipestall::wire {
class HttpClient;
class HttpStream;
} // namespace snipestall::wire

namespace snipestall::entry {

class BackendDirectory;
class CrashLedger;
class PolicyLoop;
class RequestStore;
class TrialCoordinator;
struct Backend;

/// Components that the dispatcher uses; all must outlive it.
struct DispatcherDependencies
{
    boost::asio::io_context *io = nullptr;
    RequestStore *store = nullptr;
    PolicyLoop *policy = nullptr;
    BackendDirectory *backends = nullptr;
    wire::HttpClient *http = nullptr;
    peer::PeerNetwork *network = nullptr;
    peer::ClaimKeeper *claims = nullptr;
    peer::RecordKeeper *records = nullptr;
    CrashLedger *crashes = nullptr;
    TrialCoordinator *trials = nullptr;
};

/// Totals since the process started.
struct DispatchCounters
{
    /// Attempts on backend servers.
    std::uint64_t attempts = 0;
    /// Attempts on peers.
    std::uint64_t forwards = 0;
    /// Responses and stream events that were dropped because they belonged to another attempt.
    std::uint64_t mismatchedAnswers = 0;
    /// Tokens that an engine had to compute again to continue a request.
    std::uint64_t recomputedTokens = 0;
};

/// Runs the attempts of requests: executes the commands of the policy and reports the results back
/// to it.
class Dispatcher final : public CommandSink
{
public:
    /// `name` and `incarnation` of this instance make its attempt ids unique among all processes.
    Dispatcher(std::string name, std::uint64_t incarnation);
    ~Dispatcher() override;

    void connect(DispatcherDependencies dependencies) { m_deps = dependencies; }

    /// Stores a new request and submits it to the policy. `accepted` means that this or another
    /// instance accepted the request earlier, so that no limit may refuse it.
    void handleArrival(const RequestPtr &request, bool accepted);
    /// Ends a request whose answer is no longer needed.
    void cancel(const RequestPtr &request);
    /// Returns once the buddy holds the replica of the request and the request is not suspended.
    /// Must be awaited before the acceptance is confirmed to the caller or an attempt is sent.
    wire::Task<void> accept(RequestPtr request);
    /// Ends a request with `answer`, cancels its attempts and notifies its readers and the policy.
    void finish(const RequestPtr &request, FinalAnswer answer);

    /// Begins a handover: no further attempt is started; running attempts continue.
    void suspend(const RequestPtr &request);
    /// Ends a handover after another instance has taken over the request: its attempts here are
    /// cancelled, and its callers are asked to reconnect.
    void release(const RequestPtr &request);
    /// Ends a handover in which no instance took over the request: it continues here.
    void resume(const RequestPtr &request);
    /// Waits for the stored outcome of a request that may already have run under its idempotency
    /// key; nothing is sent unless the claim turns out to be unused.
    void awaitStoredOutcome(const RequestPtr &request);

    /// Registers a peer to which requests may be forwarded.
    void addPeer(policy::PeerHandle handle, const std::string &name);

    void execute(const policy::Dispatch &command) override;
    void execute(const policy::ForwardTo &command) override;
    void execute(const policy::Refuse &command) override;
    void execute(const policy::CancelAttempt &command) override;
    void execute(const policy::MoveStream &command) override;
    void execute(const policy::StartInstance &command) override;
    void execute(const policy::ReleaseInstance &command) override;

    [[nodiscard]] const DispatchCounters &counters() const { return m_counters; }

private:
    struct Attempt;

    /// Submits a request to the policy, for the first time or again.
    void submit(const RequestPtr &request, bool accepted);
    wire::Task<void> runOnServer(RequestPtr request, policy::AttemptHandle handle, Backend server,
                                 std::string kv);
    wire::Task<void> runOnPeer(RequestPtr request, policy::ForwardTo command);
    /// Waits until no other copy of the request is in its first attempt. Returns whether the
    /// request may be sent then; false if it has ended or has been refused.
    wire::Task<bool> awaitTrial(RequestPtr request);
    /// Refuses a new copy of a request that has just crashed a server, while the first copy is
    /// being retried. Returns whether the copy was refused.
    bool refuseDuringTrial(const RequestPtr &request);
    /// Refuses a request that has crashed two backend servers, as observed here or by peers.
    /// Returns whether it was refused.
    bool refuseQuarantined(const RequestPtr &request);
    /// Moves a stream from one server to another, with its KV cache if the source can export it.
    wire::Task<void> move(RequestPtr request, policy::MoveStream command, Backend from,
                          Backend target);
    wire::Task<bool> mayRun(Attempt &attempt);
    /// Claims the idempotency key of the request; returns whether the attempt may be sent.
    wire::Task<bool> claim(Attempt &attempt);
    /// Polls the claim of the request until it holds an outcome, is gone or the deadline has
    /// passed.
    wire::Task<void> awaitOutcome(RequestPtr request);
    /// Last check before the first byte is sent; marks the request as sent if it passes.
    static bool beginSending(Attempt &attempt);
    wire::Task<void> readModel(Attempt &attempt);
    wire::Task<void> readPlain(Attempt &attempt);
    wire::Task<void> readTokens(Attempt &attempt, wire::HttpStream &stream);
    wire::Task<void> readForward(Attempt &attempt, peer::ForwardCall &call);
    wire::Task<void> handleCallError(Attempt &attempt, Error error);
    wire::Task<void> replicate(RequestPtr request);
    /// Releases a claim that was granted but not used, so that a repeat of the request can claim
    /// the key.
    void releaseClaim(Request &request);
    void storeUnknownOutcome(const Attempt &attempt);
    void recordCrash(const Attempt &attempt);
    /// Records the crashed servers that an owner reports with a request.
    void recordCrashes(const Request &request, const peer::v1::ForwardEvent &event);
    /// Handles one event of a token stream. Returns false if it belongs to another attempt, leaves
    /// a gap or cannot be parsed.
    bool handleTokenEvent(Attempt &attempt, const std::string &data);
    void answered(Attempt &attempt, int status, std::string contentType, std::string body);
    void declined(Attempt &attempt, std::chrono::milliseconds retryAfter);
    /// Reports the result of an attempt to the policy; only the first call has an effect.
    void ended(Attempt &attempt, policy::AttemptResult result,
               std::chrono::milliseconds retryAfter = {});
    [[nodiscard]] std::string attemptId(policy::AttemptHandle handle) const;

    std::string m_name;
    std::uint64_t m_incarnation;
    DispatcherDependencies m_deps;
    DispatchCounters m_counters;
    std::map<policy::PeerHandle, std::string> m_peers;
    /// The server of each running attempt, for moves.
    std::map<policy::AttemptHandle, policy::ServerHandle> m_onServer;
};

} // namespace snipestall::entry
