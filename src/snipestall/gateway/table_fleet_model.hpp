#pragma once

#include "snipestall/base/random.hpp"
#include "snipestall/gateway/table_copy.hpp"
#include "snipestall/gateway/table_exchange.hpp"
#include "snipestall/serving/peer_calls.hpp"

#include "exchange.pb.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// Simulates how changes of the store's tables reach all instances of a fleet, whose links carry a
/// limited number of bytes per second in each direction. Instances call each other and read the
/// store as `LoadExchange` and `StoreFollower` do; the time that processing takes is not modelled.
class TableFleet
{
public:
    struct Size
    {
        int dataCentres = 0;
        int instancesPerDataCentre = 0;
        /// The first instances of each data centre that have a large link and more processor time.
        int largePerDataCentre = 0;
    };

    TableFleet(Size size, std::uint64_t seed);

    /// Writes a new value of the operator's configuration to the store.
    void writeConfig(std::string value);
    /// Writes the entry of a backend server to the store.
    void writeServer(std::string value);
    void run(std::chrono::milliseconds length);

    /// The longest time from a change of the configuration, or of a server's entry, until the last
    /// instance had it; includes changes that some instances lack up to now.
    [[nodiscard]] std::chrono::milliseconds slowestConfig() const { return slowest(m_config); }
    [[nodiscard]] std::chrono::milliseconds slowestServer() const { return slowest(m_servers); }
    /// Calls between instances that have ended without an answer.
    [[nodiscard]] std::size_t failedCalls() const { return m_failedCalls; }
    /// Bytes that all instances have sent to each other.
    [[nodiscard]] std::size_t bytesSent() const { return m_bytesSent; }

private:
    /// A table in the store, and when each of its versions reached the instances.
    struct Table
    {
        std::string name;
        std::deque<platform::StoredRow> rows;
        struct Written
        {
            std::int64_t version;
            SteadyTime at;
            std::size_t instances;
            SteadyTime lastAt;
        };
        std::vector<Written> written;
    };
    struct Follower
    {
        TableCopy copy;
        /// The highest version that is counted in Table::written.
        std::int64_t counted = 0;
        SteadyTime nextPoll;
        bool polling = false;

        explicit Follower(const std::string &table)
            : copy(table)
        { }
    };
    /// One direction of a link, which carries one segment after another.
    struct Direction
    {
        double bytesPerSecond = 0;
        SteadyTime freeAt;
    };
    /// A message on its way. Each message has one segment under way at a time, so that several
    /// share a link.
    struct Message
    {
        Direction *out = nullptr;
        Direction *in = nullptr;
        std::size_t bytesLeft = 0;
        /// Set once the call that the message belongs to has ended; the rest is not sent then.
        std::shared_ptr<bool> ended;
        std::function<void()> arrived;
    };
    struct Instance
    {
        std::string name;
        serving::OverlayPeer info;
        serving::PeerCalls calls;
        TableExchange tables;
        std::map<std::string, Follower> followers;
        Direction out;
        Direction in;
        SteadyTime membersReportedAt;

        Instance(const std::string &given, const serving::OverlayPeer &own, std::uint64_t seed);
    };
    struct Event
    {
        SteadyTime at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    void at(SteadyTime time, std::function<void()> action);
    void send(Message message);
    /// Returns when a direction has carried a segment that is handed to it now.
    SteadyTime carry(Direction &direction, std::size_t bytes) const;
    /// Begins a call, which ends at `deadline` at the latest; then `failed` is called, unless the
    /// call has ended before.
    std::shared_ptr<bool> beginCall(SteadyTime deadline, std::function<void()> failed);
    void write(Table &table, const std::string &key, std::string value);
    void tick(Instance &instance);
    void call(Instance &caller, Instance &callee);
    void answer(Instance &caller, Instance &callee, const std::shared_ptr<bool> &ended);
    [[nodiscard]] exchange::v1::LoadReport report(Instance &sender, const std::string &receiver,
                                                  bool asMember);
    void receive(Instance &receiver, const exchange::v1::LoadReport &report);
    void apply(Instance &receiver, const std::string &table, const std::string &peer,
               const TableChanges &changes);
    void fetch(Instance &receiver);
    void request(Instance &receiver, const TableExchange::Request &request);
    void sendPart(Instance &receiver, Instance &holder, const TableExchange::Request &request,
                  const std::shared_ptr<bool> &ended);
    void poll(Instance &instance, Table &table);
    void count(Table &table, Follower &follower);
    [[nodiscard]] bool hasMembers(const Instance &instance) const;
    [[nodiscard]] std::chrono::milliseconds slowest(const Table &table) const;

    SteadyTime m_now { std::chrono::seconds(100) };
    Random m_random;
    std::int64_t m_version = 1;
    Table m_config;
    Table m_servers;
    Direction m_storeLink { 500e6, {} };
    std::vector<Instance> m_instances;
    std::map<std::string, std::size_t> m_byName;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::size_t m_failedCalls = 0;
    std::size_t m_bytesSent = 0;
};

} // namespace snipestall::gateway
