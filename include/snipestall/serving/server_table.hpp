#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/backend_server.hpp"
#include "snipestall/serving/data_centre_health.hpp"
#include "snipestall/serving/server_health.hpp"
#include "snipestall/serving/server_load.hpp"
#include "snipestall/serving/server_speed.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::serving {

/// One incarnation of a backend server with what this instance knows of it. All of it, and all that
/// is kept elsewhere under `key`, ends with the incarnation: one that starts again under the same
/// id holds no prompts, runs nothing, and has failed nobody.
struct ServerState
{
    BackendServer info;
    /// Names the incarnation; the same at every instance.
    std::string key;
    /// Work of this instance alone.
    ServerLoad own;
    ServerHealth health;
    ServerSpeed speed;
    /// When it last sent this instance a byte.
    SteadyTime heardAt;
    /// Set while the server is reclaimed: until when it serves for certain, on this instance's
    /// clock.
    std::optional<SteadyTime> leavesAt;
    /// Gone from the list, or from its address; work that runs there goes on, nothing new is sent.
    bool departed = false;

    [[nodiscard]] bool takesWork() const { return !departed && !info.leaving; }
};

using ServerStatePtr = std::shared_ptr<ServerState>;

/// What an entry of the list changed.
struct Listing
{
    enum class Kind {
        Added,
        Changed,
        /// It is older than what is known.
        Ignored,
        /// Its incarnation had left the list; it serves again once it has proved that it lives.
        Returning,
    };
    Kind kind = Kind::Ignored;
    /// An incarnation that the entry shows to have ended; null if none.
    ServerStatePtr ended;
};

/// The backend servers this instance knows of.
///
/// Failure: copies of an entry arrive late, from a peer or from a write that was under way, and
/// work goes to a server that has left or to one that has meanwhile started again under the same
/// id. It shows as requests that reach a server after it has said that it leaves, or as a server
/// that is judged by what an earlier incarnation did. So entries are ordered by incarnation,
/// leaving is final for one, and one that has left the list serves again only if it stays listed
/// for longer than an entry stays that nobody renews: a server that was cut off from the list's
/// keeper does, a late copy does not.
class ServerTable
{
public:
    /// `drain`: for how long a server serves on after it has said that it leaves; `heartbeat`: how
    /// often a server renews its entry.
    explicit ServerTable(std::chrono::milliseconds drain = std::chrono::milliseconds(2000),
                         std::chrono::milliseconds heartbeat = std::chrono::milliseconds(1200))
        : m_drain(drain)
        , m_proofTime(heartbeat * HeartbeatsUntilLapse + ListDelay)
    { }

    Listing put(const BackendServer &server, SteadyTime now);
    /// The entry left the list. Returns the incarnation that it named; null if none was known.
    ServerStatePtr remove(const std::string &id);
    /// The entry left the list while the list's keeper was away: it is taken as gone at `until`
    /// unless it is listed again before.
    void lapse(const std::string &id, SteadyTime until);
    /// Removes the lapsed entries whose time has come, and returns them. Unlike one that left, a
    /// server whose entry lapsed serves again once it lists itself.
    std::vector<ServerStatePtr> expireLapsed(SteadyTime now);
    /// Lets servers serve that came back under an incarnation that had left and stayed listed long
    /// enough. Returns them.
    std::vector<ServerStatePtr> readmit(SteadyTime now);

    /// A server can't be reached, broke off or did not answer in time.
    void lost(ServerState &server, SteadyTime now);
    /// Another incarnation answers at its address, whatever the list still says: it has ended.
    static void replaced(ServerState &server) { server.departed = true; }
    /// A server gave a whole answer.
    void answered(ServerState &server);
    /// False while a server, or its whole data centre, is to be avoided.
    [[nodiscard]] bool usable(const ServerState &server, SteadyTime now) const;

    /// Compares the servers of each service with each other; to be called now and then.
    void compareSpeeds();

    [[nodiscard]] ServerStatePtr find(const std::string &id) const;
    /// Entries of a service in the order of their ids.
    [[nodiscard]] std::vector<ServerStatePtr> ofService(const std::string &service) const;
    [[nodiscard]] const std::map<std::string, ServerStatePtr> &all() const { return m_servers; }

private:
    struct Returning
    {
        BackendServer info;
        SteadyTime provedAt;
    };

    ServerStatePtr drop(const std::string &id);
    Listing awaitProof(const BackendServer &server, SteadyTime now);
    void update(ServerState &state, const BackendServer &server, SteadyTime now) const;

    /// Ids that have left are remembered up to this many; at the planned size several days.
    static constexpr std::size_t MostDeparted = 20000;
    /// An entry that nobody renews is removed after this many heartbeats.
    static constexpr int HeartbeatsUntilLapse = 3;
    /// From the removal of an entry until every instance has heard of it: some reports' way.
    static constexpr std::chrono::milliseconds ListDelay { 800 };

    std::chrono::milliseconds m_drain;
    std::chrono::milliseconds m_proofTime;
    std::map<std::string, ServerStatePtr> m_servers;
    /// When the last incarnation that left was born, by id.
    std::unordered_map<std::string, WallTime> m_departed;
    std::unordered_map<std::string, Returning> m_returning;
    std::unordered_map<std::string, SteadyTime> m_lapsed;
    std::map<std::string, DataCentreHealth> m_dataCentres;
};

} // namespace snipestall::serving
