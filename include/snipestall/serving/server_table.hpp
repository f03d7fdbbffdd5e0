#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/backend_server.hpp"
#include "snipestall/serving/data_centre_health.hpp"
#include "snipestall/serving/server_health.hpp"
#include "snipestall/serving/server_load.hpp"
#include "snipestall/serving/server_notices.hpp"
#include "snipestall/serving/server_outcomes.hpp"
#include "snipestall/serving/server_speed.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::serving {

class PeerLoads;

/// One incarnation of a backend server and what this instance knows about it. All of this, and
/// everything that is stored elsewhere under `key`, belongs to the incarnation only: a server that
/// starts again under the same id has no cached prompts, runs nothing and has not failed any
/// request.
struct ServerState
{
    BackendServer info;
    /// Identifies the incarnation; the same at every instance.
    std::string key;
    /// Load of this instance alone.
    ServerLoad own;
    ServerHealth health;
    ServerSpeed speed;
    /// Outcomes of the requests that this instance has relayed there.
    OutcomeCounter outcomes;
    /// Failure rate by the outcomes of all instances, and whether it is so much higher than that of
    /// the other servers that this one is to be avoided.
    double sharedFailureRate = 0;
    bool failing = false;
    /// When this instance last received a byte from the server.
    SteadyTime lastByteAt;
    /// Set while the server is being reclaimed: until when it certainly serves, on the clock of
    /// this instance.
    std::optional<SteadyTime> leavesAt;
    /// Answers that were cut off since the server last sent a whole one. If it sends another, it
    /// has not crashed.
    int unexplainedLosses = 0;
    /// The last rest that the server has asked this instance for; null if there was none.
    std::shared_ptr<ServerRest> rest;
    /// Whether the server has disappeared from the list or from its address. Requests that run
    /// there continue, but no new ones are sent.
    bool departed = false;

    /// Whether the server serves new requests, now or after a rest.
    [[nodiscard]] bool takesWork() const { return !departed && !info.leaving; }
    /// Whether the server has asked this instance to send it nothing now.
    [[nodiscard]] bool rests(SteadyTime now) const { return rest && rest->inForce(now); }
    /// Time from which on this instance may choose the server, as far as its rest goes.
    [[nodiscard]] SteadyTime opensAt() const { return rest ? rest->opensAt() : SteadyTime::min(); }
};

using ServerStatePtr = std::shared_ptr<ServerState>;

/// The result of adding an entry to the table.
struct PutResult
{
    enum class Kind {
        Added,
        Changed,
        /// The entry is older than what is known.
        Ignored,
        /// The incarnation had left the list; it serves again once its entry has stayed listed for
        /// long enough.
        Returning,
    };
    Kind kind = Kind::Ignored;
    /// The incarnation that has ended according to the entry; null if none.
    ServerStatePtr ended;
};

/// The backend servers that this instance knows.
///
/// Failure: a copy of an entry arrives late, from a peer or from a write that was under way, and
/// requests go to a server that has left or to one that has since started again under the same id.
/// It shows as requests that reach a server after it has announced that it leaves, or as a server
/// that is rated by what an earlier incarnation did. Entries are therefore ordered by incarnation,
/// and leaving is final for an incarnation. An incarnation that has left the list serves again only
/// if it stays listed for longer than an entry stays that is not renewed: a server that was cut off
/// from the store of the list renews its entry, but nobody renews a late copy.
class ServerTable
{
public:
    /// `drain`: how long a server continues to serve after it has announced that it leaves;
    /// `heartbeat`: interval at which a server renews its entry.
    explicit ServerTable(std::chrono::milliseconds drain = std::chrono::milliseconds(2000),
                         std::chrono::milliseconds heartbeat = std::chrono::milliseconds(1200))
        : m_drain(drain)
        , m_readmitDelay(heartbeat * HeartbeatsUntilExpiry + ListPropagationDelay)
    { }

    /// Adds or updates a server by an entry of the list.
    PutResult put(const BackendServer &server, SteadyTime now);
    /// The entry was removed from the list. Returns the incarnation that it named; null if none was
    /// known.
    ServerStatePtr remove(const std::string &id);
    /// The entry was removed from the list while the store of the list was unavailable. The server
    /// is taken as gone at `until` unless it is listed again before.
    void markExpired(const std::string &id, SteadyTime until);
    /// Removes the expired entries whose time has come, and returns their servers. Unlike a server
    /// that left, a server whose entry expired serves again as soon as it is listed again.
    std::vector<ServerStatePtr> removeExpired(SteadyTime now);
    /// Readmits the servers whose incarnation had left the list and which have been listed again
    /// for long enough. Returns them.
    std::vector<ServerStatePtr> readmit(SteadyTime now);

    /// A server cannot be reached, broke the connection or did not answer in time.
    void lost(ServerState &server, SteadyTime now);
    /// Another incarnation answers at the address of this one, so this one has ended, whatever the
    /// list still contains.
    static void markReplaced(ServerState &server) { server.departed = true; }
    /// A byte arrived from a server.
    static void heard(ServerState &server, SteadyTime now);
    /// A server sent a complete answer.
    void answered(ServerState &server, SteadyTime now);
    /// A server sent a complete answer with the status of a failure.
    static void failed(ServerState &server, SteadyTime now);
    /// The server asks this instance for a rest up to `until`. Returns whether one begins.
    bool askedForRest(ServerState &server, SteadyTime until, SteadyTime now);
    /// The server, given by its key, has said in an answer at `saidAt` that it leaves. Returns
    /// whether that is new.
    bool saidItLeaves(const std::string &server, SteadyTime saidAt);
    /// Forgets the rests that are over, and returns the keys of their servers.
    std::vector<std::string> endRests(SteadyTime now) { return m_notices.endRests(now); }
    /// Whether a run that the server has stopped may be sent back there: it takes requests for the
    /// drain time after it has said that it leaves.
    [[nodiscard]] bool mayReturnTo(const ServerState &server, SteadyTime now) const;
    /// Counts a request that is about to be sent to the server.
    static void requestSent(ServerState &server, SteadyTime now);
    /// The server has accepted a request that was sent at `sentAt`.
    static void requestAccepted(ServerState &server, SteadyTime sentAt);
    [[nodiscard]] const ServerNotices &notices() const { return m_notices; }
    /// False while the server or its whole data centre should be avoided.
    [[nodiscard]] bool usable(const ServerState &server, SteadyTime now) const;

    /// Compares the speeds and failure rates of the servers of each service, by the outcomes of
    /// this instance and of the others (`peers`); to be called periodically.
    void compareServers(const PeerLoads &peers, SteadyTime now);

    /// The current incarnation of a server; null if none is listed.
    [[nodiscard]] ServerStatePtr find(const std::string &id) const;
    /// The servers of a service, ordered by id.
    [[nodiscard]] std::vector<ServerStatePtr> ofService(const std::string &service) const;
    [[nodiscard]] const std::map<std::string, ServerStatePtr> &all() const { return m_servers; }

private:
    struct Returning
    {
        BackendServer info;
        SteadyTime readmitAt;
    };

    /// Compares the servers of one service.
    static void compareSpeeds(const std::vector<ServerState *> &servers);
    static void compareFailures(const std::vector<ServerState *> &servers);
    /// Removes the current incarnation of a server and returns it; null if none is listed.
    ServerStatePtr drop(const std::string &id);
    /// Handles an entry of an incarnation that had left the list.
    PutResult awaitRenewals(const BackendServer &server, SteadyTime now);
    void update(ServerState &state, const BackendServer &server, SteadyTime now);

    /// Maximum number of ids of departed servers that are remembered; at the planned size this
    /// covers several days.
    static constexpr std::size_t MaxDeparted = 20000;
    /// An entry that is not renewed is removed after this many heartbeats.
    static constexpr int HeartbeatsUntilExpiry = 3;
    /// Time from the removal of an entry until every instance knows of it, which takes a few
    /// reports.
    static constexpr std::chrono::milliseconds ListPropagationDelay { 800 };

    /// A notice reaches this instance, and a request the server, within this time.
    static constexpr std::chrono::milliseconds NoticeLag { 600 };

    std::chrono::milliseconds m_drain;
    std::chrono::milliseconds m_readmitDelay;
    std::map<std::string, ServerStatePtr> m_servers;
    /// Start of the last incarnation that left, by id.
    std::unordered_map<std::string, WallTime> m_departed;
    std::unordered_map<std::string, Returning> m_returning;
    std::unordered_map<std::string, SteadyTime> m_expiring;
    std::map<std::string, DataCentreHealth> m_dataCentres;
    ServerNotices m_notices;
};

} // namespace snipestall::serving
