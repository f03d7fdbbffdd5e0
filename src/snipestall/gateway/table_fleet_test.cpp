#include "snipestall/gateway/table_fleet_model.hpp"

#include "test_text.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace snipestall::gateway {

using namespace std::chrono_literals;
namespace v1 = exchange::v1;
using std::chrono::milliseconds;

namespace {

constexpr double LargeLink = 25e6;
constexpr double SmallLink = 1.25e6;
constexpr std::uint32_t LargeMilliCores = 500;
constexpr std::uint32_t SmallMilliCores = 120;
constexpr milliseconds Delay { 2 };
/// Data that one connection has under way.
constexpr std::size_t SegmentBytes = std::size_t { 32 } << 10;
constexpr milliseconds CallTimeout { 600 };
constexpr milliseconds PollSpacing { 200 };
/// An instance that does not read for others polls if its copy is older.
constexpr milliseconds PollAtAge { 2030 };
constexpr milliseconds MembersKeptFor { 2500 };
/// Size of a report without rows.
constexpr std::size_t ReportBytes = 3000;
constexpr milliseconds PartTimeout { 1000 };
constexpr std::size_t RequestBytes = 150;

} // namespace

// --- The model -------------------------------------------------------------------------------

TableFleet::Instance::Instance(const std::string &given, const serving::OverlayPeer &own,
                               std::uint64_t seed)
    : name(given)
    , info(own)
    , calls(given, own)
    , tables(given, own.dataCentre, seed)
{ }

TableFleet::TableFleet(Size size, std::uint64_t seed)
    : m_random(seed)
{
    m_config.name = "op";
    m_servers.name = "servers";
    for (int d = 0; d < size.dataCentres; ++d) {
        for (int i = 0; i < size.instancesPerDataCentre; ++i) {
            const bool large = i < size.largePerDataCentre;
            const std::string dataCentre = "dc" + std::to_string(d);
            const std::string name = dataCentre + "-" + std::to_string(1000 + i);
            m_byName[name] = m_instances.size();
            m_instances.emplace_back(
                name,
                serving::OverlayPeer { dataCentre, large ? LargeMilliCores : SmallMilliCores },
                m_random.next());
            Instance &added = m_instances.back();
            added.out.bytesPerSecond = added.in.bytesPerSecond = large ? LargeLink : SmallLink;
            for (const Table *table : { &m_config, &m_servers }) {
                Follower &follower =
                    added.followers.emplace(table->name, Follower(table->name)).first->second;
                follower.copy.beginRead(m_now);
                follower.copy.readWhole({}, m_version);
            }
        }
    }
    for (Instance &instance : m_instances) {
        for (const auto &[name, follower] : instance.followers)
            instance.tables.addTable(follower.copy);
        for (const Instance &other : m_instances) {
            if (other.name != instance.name)
                instance.calls.addPeer(other.name, other.info);
        }
        at(m_now + milliseconds(m_random.below(100)), [this, &instance] { tick(instance); });
    }
}

void TableFleet::at(SteadyTime time, std::function<void()> action)
{
    m_events.push({ time, ++m_eventNumber, std::move(action) });
}

void TableFleet::send(Message message)
{
    if (*message.ended)
        return;
    const std::size_t bytes = std::min(message.bytesLeft, SegmentBytes);
    message.bytesLeft -= bytes;
    // A segment takes the receiver's link only once it has left the sender's, so that one that
    // waits there holds up no other sender's.
    Direction *const in = message.in;
    const SteadyTime left = carry(*message.out, bytes);
    at(left, [this, in, bytes, message = std::move(message)] {
        at(carry(*in, bytes) + Delay, [this, message] {
            if (*message.ended)
                return;
            if (message.bytesLeft > 0)
                send(message);
            else
                message.arrived();
        });
    });
}

SteadyTime TableFleet::carry(Direction &direction, std::size_t bytes) const
{
    const std::chrono::duration<double> length(static_cast<double>(bytes)
                                               / direction.bytesPerSecond);
    direction.freeAt = std::max(m_now, direction.freeAt)
        + std::chrono::duration_cast<SteadyTime::duration>(length);
    return direction.freeAt;
}

std::shared_ptr<bool> TableFleet::beginCall(SteadyTime deadline, std::function<void()> failed)
{
    auto ended = std::make_shared<bool>(false);
    at(deadline, [ended, failed = std::move(failed)] {
        if (!std::exchange(*ended, true))
            failed();
    });
    return ended;
}

void TableFleet::write(Table &table, const std::string &key, std::string value)
{
    ++m_version;
    std::erase_if(table.rows,
                  [&key](const platform::StoredRow &row) { return row.name.key == key; });
    table.rows.push_back({ { table.name, "", key }, std::move(value), m_version, false });
    table.written.push_back({ m_version, m_now, 0, m_now });
}

void TableFleet::writeConfig(std::string value)
{
    write(m_config, "config", std::move(value));
}

void TableFleet::writeServer(std::string value)
{
    const std::string key = "i-" + std::to_string(m_servers.written.size());
    write(m_servers, key, std::move(value));
}

bool TableFleet::hasMembers(const Instance &instance) const
{
    return m_now - instance.membersReportedAt <= MembersKeptFor;
}

void TableFleet::tick(Instance &instance)
{
    at(m_now + serving::PeerCalls::Interval / 2, [this, &instance] { tick(instance); });
    for (const std::string &name : instance.calls.dueCalls(m_now, hasMembers(instance)))
        call(instance, m_instances[m_byName.at(name)]);
    fetch(instance);
    for (Table *table : { &m_config, &m_servers }) {
        const Follower &follower = instance.followers.at(table->name);
        const bool must =
            instance.calls.overlay().isReader() || follower.copy.age(m_now) > PollAtAge;
        if (must && !follower.polling && m_now >= follower.nextPoll)
            poll(instance, *table);
    }
}

void TableFleet::poll(Instance &instance, Table &table)
{
    Follower &follower = instance.followers.at(table.name);
    follower.polling = true;
    follower.nextPoll = m_now + PollSpacing;
    std::vector<platform::StoredRow> rows;
    std::size_t bytes = 200;
    for (const platform::StoredRow &row : table.rows) {
        if (row.version <= follower.copy.version())
            continue;
        rows.push_back(row);
        bytes += row.value.size() * 4 / 3;
    }
    // A read goes on as long as bytes arrive.
    const auto ended = std::make_shared<bool>(false);
    const auto arrived = [this, ended, &follower, &table, rows, version = m_version] {
        *ended = true;
        follower.polling = false;
        follower.copy.advance(rows, version, true, m_now);
        count(table, follower);
    };
    send({ &m_storeLink, &instance.in, bytes, ended, arrived });
}

v1::LoadReport TableFleet::report(Instance &sender, const std::string &receiver, bool asMember)
{
    v1::LoadReport report;
    report.set_instance(sender.name);
    report.set_data_centre(sender.info.dataCentre);
    report.set_to_hub(asMember);
    sender.tables.addTo(report, receiver, m_now);
    return report;
}

void TableFleet::receive(Instance &receiver, const v1::LoadReport &report)
{
    const Instance &sender = m_instances[m_byName.at(report.instance())];
    receiver.calls.addPeer(sender.name, sender.info);
    receiver.calls.reportReceived(sender.name, m_now);
    if (report.to_hub())
        receiver.membersReportedAt = m_now;
    receiver.tables.reportReceived(report, m_now);
    for (const v1::TableState &state : report.tables()) {
        const auto changes = TableExchange::changesIn(state);
        ASSERT_TRUE(changes) << changes.error().message;
        if (*changes)
            apply(receiver, state.table(), sender.name, **changes);
        receiver.followers.at(state.table())
            .copy.confirm(state.version(), milliseconds(state.age_ms()), m_now);
        receiver.tables.offered(sender.name, state, m_now);
    }
    fetch(receiver);
}

void TableFleet::apply(Instance &receiver, const std::string &table, const std::string &peer,
                       const TableChanges &changes)
{
    Follower &follower = receiver.followers.at(table);
    const auto applied = follower.copy.advanceFromPeer(changes);
    if (!applied && applied.error().kind != ErrorKind::Conflict)
        receiver.tables.rejected(table, peer, changes.to, m_now);
    count(table == m_config.name ? m_config : m_servers, follower);
}

void TableFleet::fetch(Instance &receiver)
{
    for (const TableExchange::Request &due : receiver.tables.dueRequests(m_now))
        request(receiver, due);
}

void TableFleet::request(Instance &receiver, const TableExchange::Request &request)
{
    Instance &holder = m_instances[m_byName.at(request.peer)];
    const auto ended = beginCall(m_now + PartTimeout, [this, &receiver, table = request.table] {
        receiver.tables.failed(table, m_now);
    });
    send({ &receiver.out, &holder.in, RequestBytes, ended,
           [this, &receiver, &holder, request, ended] {
               sendPart(receiver, holder, request, ended);
           } });
}

void TableFleet::sendPart(Instance &receiver, Instance &holder,
                          const TableExchange::Request &request, const std::shared_ptr<bool> &ended)
{
    const v1::ChangesAnswer answer =
        holder.tables.answer(receiver.tables.messageOf(request), m_now);
    const std::size_t bytes = RequestBytes + answer.ByteSizeLong();
    m_bytesSent += bytes;
    send({ &holder.out, &receiver.in, bytes, ended, [this, &receiver, request, answer, ended] {
              *ended = true;
              const auto changes = receiver.tables.answered(request.table, answer, m_now);
              ASSERT_TRUE(changes) << changes.error().message;
              if (*changes)
                  apply(receiver, request.table, request.peer, **changes);
              fetch(receiver);
          } });
}

void TableFleet::call(Instance &caller, Instance &callee)
{
    const bool asMember = !caller.calls.overlay().isHub() && !hasMembers(caller);
    const v1::LoadReport request = report(caller, callee.name, asMember);
    const std::size_t bytes = ReportBytes + request.ByteSizeLong();
    m_bytesSent += bytes;
    const auto ended = beginCall(m_now + CallTimeout, [this, &caller, name = callee.name] {
        ++m_failedCalls;
        caller.calls.callFailed(name, m_now);
    });
    send({ &caller.out, &callee.in, bytes, ended, [this, &caller, &callee, request, ended] {
              receive(callee, request);
              answer(caller, callee, ended);
          } });
}

void TableFleet::answer(Instance &caller, Instance &callee, const std::shared_ptr<bool> &ended)
{
    const v1::LoadReport reply = report(callee, caller.name, false);
    const std::size_t bytes = ReportBytes + reply.ByteSizeLong();
    m_bytesSent += bytes;
    send({ &callee.out, &caller.in, bytes, ended, [this, &caller, &callee, reply, ended] {
              *ended = true;
              receive(caller, reply);
              caller.calls.callAnswered(callee.name);
          } });
}

void TableFleet::count(Table &table, Follower &follower)
{
    for (Table::Written &written : table.written) {
        if (written.version <= follower.counted || written.version > follower.copy.version())
            continue;
        ++written.instances;
        written.lastAt = m_now;
    }
    follower.counted = follower.copy.version();
}

void TableFleet::run(milliseconds length)
{
    const SteadyTime end = m_now + length;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
}

milliseconds TableFleet::slowest(const Table &table) const
{
    SteadyTime::duration longest { 0 };
    for (const Table::Written &written : table.written) {
        const SteadyTime last = written.instances == m_instances.size() ? written.lastAt : m_now;
        longest = std::max(longest, last - written.at);
    }
    return std::chrono::duration_cast<milliseconds>(longest);
}

namespace {

constexpr std::uint64_t Seed = 47;
constexpr std::size_t Routes = 1400;
constexpr std::size_t ServerEntryBytes = 300;
/// Time within which a configuration has to be in force, and the leaving of a server known.
constexpr milliseconds InForceWithin { 3000 };

/// A configuration with many routes, of which each has names of its own.
class Config
{
public:
    explicit Config(std::uint64_t seed)
        : m_random(seed)
    { }

    void addRoutes(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_routes.push_back(R"({"name":"r-)" + randomText(m_random, 7) + R"(","host":")"
                               + randomText(m_random, 6) + R"(.example","prefix":"/)"
                               + randomText(m_random, 8)
                               + R"(/","requestBy":"idempotent","limitMsec":12000,)"
                                 R"("objectiveMillis":1000,"priority":1,"service":"ledger",)"
                                 R"("sendsAtMost":2,"anonymous":false,"continuation":false})");
    }
    void replaceRoute()
    {
        m_routes.erase(m_routes.begin()
                       + static_cast<std::ptrdiff_t>(m_random.below(m_routes.size())));
        addRoutes(1);
    }
    std::string text()
    {
        std::string text = R"({"version":)" + std::to_string(++m_version) + R"(,"routes":[)";
        for (const std::string &route : m_routes)
            text += (text.back() == '[' ? "" : ",") + route;
        return text + "]}";
    }

private:
    Random m_random;
    int m_version = 0;
    std::vector<std::string> m_routes;
};

/// The parameter is the fleet: all links small, or two large ones in each data centre.
class LargeRows : public testing::TestWithParam<TableFleet::Size>
{
protected:
    LargeRows()
        : m_fleet(GetParam(), Seed)
    { }

    /// Runs the fleet while an entry of a server changes each half second.
    void runWithServers(milliseconds length)
    {
        for (milliseconds passed { 0 }; passed < length; passed += 500ms) {
            m_fleet.writeServer(randomText(m_random, ServerEntryBytes));
            m_fleet.run(500ms);
        }
    }

    void expectAllInForce() const
    {
        EXPECT_LE(m_fleet.slowestConfig(), InForceWithin);
        EXPECT_LE(m_fleet.slowestServer(), InForceWithin);
    }

    Random m_random { Seed };
    Config m_config { Seed };
    TableFleet m_fleet;
};

// Guards against requests that are handled by an old configuration, and sent to servers that have
// left, seconds after each change of a route in a configuration of several hundred kB. Every report
// carried the whole row to each instance that had not confirmed it. Small links did not carry it
// within the time of a report, so it was sent again and again, together with the list of servers.
TEST_P(LargeRows, AreInForceInTimeAfterASmallChange)
{
    m_config.addRoutes(Routes);
    m_fleet.writeConfig(m_config.text());
    runWithServers(8s);
    for (int change = 0; change < 3; ++change) {
        m_config.replaceRoute();
        m_fleet.writeConfig(m_config.text());
        runWithServers(4s);
    }
    expectAllInForce();
}

// Guards against the same when each change adds thousands of routes at once.
TEST_P(LargeRows, AreInForceInTimeAfterALargeChange)
{
    for (int change = 0; change < 3; ++change) {
        m_config.addRoutes(Routes);
        m_fleet.writeConfig(m_config.text());
        runWithServers(1s);
        m_config.replaceRoute();
        m_fleet.writeConfig(m_config.text());
        runWithServers(7s);
    }
    expectAllInForce();
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, LargeRows,
    testing::Values(TableFleet::Size { 3, 3, 0 }, TableFleet::Size { 4, 15, 0 },
                    TableFleet::Size { 4, 15, 2 }, TableFleet::Size { 4, 75, 0 },
                    TableFleet::Size { 4, 75, 2 }),
    [](const auto &info) {
        const int instances = info.param.dataCentres * info.param.instancesPerDataCentre;
        return std::to_string(instances) + "Instances"
            + std::to_string(info.param.largePerDataCentre) + "Large";
    });

} // namespace
} // namespace snipestall::gateway
