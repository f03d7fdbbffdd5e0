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
class TrialGate;
struct Backend;

/// What the dispatcher works with; all outlive it.
struct DispatcherLinks
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
    TrialGate *trials = nullptr;
};

struct DispatchCounters
{
    std::uint64_t attempts = 0;
    std::uint64_t forwards = 0;
    std::uint64_t wrongAttempt = 0;
    std::uint64_t recomputedTokens = 0;
};

/// Runs attempts: carries out what the policy decides and tells it what came of it.
class Dispatcher final : public CommandSink
{
public:
    /// `name` and `incarnation` make attempt ids that no other process gives.
    Dispatcher(std::string name, std::uint64_t incarnation);
    ~Dispatcher() override;

    void connect(DispatcherLinks links) { m_links = links; }

    /// A new request: the policy decides what becomes of it. `accepted`: it was accepted before,
    /// here or elsewhere, and no limit refuses it.
    void arrive(const RequestPtr &request, bool accepted);
    /// Nobody wants its answer any more.
    void cancel(const RequestPtr &request);
    /// The request is recorded with its buddy; to be awaited before anything is promised.
    wire::Task<void> accept(RequestPtr request);
    /// Ends a request here; tells readers and the policy.
    void finish(const RequestPtr &request, FinalAnswer answer);

    /// Hand-over: start no further attempt, break off none.
    void suspend(const RequestPtr &request);
    /// Another instance has taken it over: it ends here, its callers are told to come back.
    void release(const RequestPtr &request);
    /// Nobody has taken it over: it goes on here.
    void resume(const RequestPtr &request);
    /// It may have run under its key: its outcome is waited for, nothing is sent.
    void awaitStoredOutcome(const RequestPtr &request);

    /// Peers that forwards may go to.
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

    /// Puts a request before the policy, for the first time or again.
    void submit(const RequestPtr &request, bool accepted);
    wire::Task<void> runOnServer(RequestPtr request, policy::AttemptHandle handle, Backend server,
                                 std::string kv);
    wire::Task<void> runOnPeer(RequestPtr request, policy::ForwardTo command);
    /// Waits until no other copy of the request is in its first try, and whether it may be sent
    /// then; false if it has been refused.
    wire::Task<bool> awaitTrial(RequestPtr request);
    /// Refuses a new copy of a request that has just taken down a server, while that is tried
    /// again.
    bool refuseDuringTrial(const RequestPtr &request);
    /// Refuses a request that peers have seen take down two backend servers.
    bool refuseQuarantined(const RequestPtr &request);
    wire::Task<void> move(RequestPtr request, policy::MoveStream command, Backend from,
                          Backend target);
    wire::Task<bool> mayRun(Attempt &attempt);
    wire::Task<bool> claim(Attempt &attempt);
    wire::Task<void> awaitOutcome(RequestPtr request);
    static bool beginSending(Attempt &attempt);
    wire::Task<void> readModel(Attempt &attempt);
    wire::Task<void> readPlain(Attempt &attempt);
    wire::Task<void> readTokens(Attempt &attempt, wire::HttpStream &stream);
    wire::Task<void> readForward(Attempt &attempt, peer::ForwardCall &call);
    wire::Task<void> attemptBroke(Attempt &attempt, Error error);
    wire::Task<void> replicate(RequestPtr request);
    /// A claim that was granted and not used: a repeat may have the key.
    void giveBackClaim(Request &request);
    void storeUnknown(const Attempt &attempt);
    void noteCrash(const Attempt &attempt);
    /// What an owner tells of servers that died with a request.
    void noteCrashes(const Request &request, const peer::v1::ForwardEvent &event);
    bool takeToken(Attempt &attempt, const std::string &data);
    void answered(Attempt &attempt, int status, std::string contentType, std::string body);
    void declined(Attempt &attempt, std::chrono::milliseconds retryAfter);
    void ended(Attempt &attempt, policy::AttemptResult result,
               std::chrono::milliseconds retryAfter = {});
    [[nodiscard]] std::string attemptId(policy::AttemptHandle handle) const;

    std::string m_name;
    std::uint64_t m_incarnation;
    DispatcherLinks m_links;
    DispatchCounters m_counters;
    std::map<policy::PeerHandle, std::string> m_peers;
    /// Which server each attempt under way runs on, for moves.
    std::map<policy::AttemptHandle, policy::ServerHandle> m_onServer;
};

} // namespace snipestall::entry
