#pragma once

#include "stream_store_model.hpp"

#include "snipestall/base/random.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/gateway/report_book.hpp"
#include "snipestall/gateway/stream_exchange.hpp"
#include "snipestall/serving/peer_calls.hpp"
#include "snipestall/serving/stream_records.hpp"

#include "exchange.pb.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::gateway {

struct StreamFleetOptions
{
    /// Streams last for a time in between, evenly distributed.
    std::chrono::milliseconds shortest { 6000 };
    std::chrono::milliseconds longest { 6000 };
    /// Whether the records are kept in the store, too.
    bool inStore = false;
};

/// Instances that begin streams, pass their origins on in reports and, if wanted, in groups in the
/// store, and are killed.
class StreamFleet
{
public:
    static constexpr int DataCentres = 4;

    StreamFleet(std::size_t instances, std::uint64_t seed, const StreamFleetOptions &options = {})
        : m_options(options)
        , m_random(seed)
        , m_store(seed)
    {
        m_downUntil.resize(instances);
        for (std::size_t i = 0; i < instances; ++i) {
            m_names.push_back("edge-" + std::to_string(i));
            m_byName[m_names[i]] = i;
        }
        for (std::size_t i = 0; i < instances; ++i)
            m_instances.push_back(start(i));
    }

    void run(std::chrono::milliseconds length)
    {
        const SteadyTime until = m_now + length;
        while (m_now < until) {
            m_now += Tick;
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (!m_instances[i] && m_downUntil[i] <= m_now)
                    m_instances[i] = start(i);
            }
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                exchange(i);
            if (m_options.inStore) {
                for (std::size_t i = 0; i < m_instances.size(); ++i)
                    useStore(i);
            }
            beginStreams();
            takeUpStreams();
        }
    }

    /// Ends processes. The callers of their streams take them up at other instances soon after.
    void kill(const std::vector<std::size_t> &indices)
    {
        for (const std::size_t i : indices) {
            m_instances[i].reset();
            m_downUntil[i] = m_now + DownFor;
            if (m_options.inStore)
                m_downUntil[i] += std::chrono::milliseconds(m_random.below(DownFor.count() / 2));
        }
        for (Stream &stream : m_streams) {
            const bool broken = std::ranges::find(indices, stream.instance) != indices.end()
                && stream.endsAt > m_now && !stream.takenUpAt;
            if (!broken)
                continue;
            stream.takenUpAt =
                m_now + Tick + std::chrono::milliseconds(m_random.below(2 * DownFor.count()));
            stream.counted = m_now - stream.begunAt >= m_countedFrom;
            // The caller waits for the rest of the stream after that.
            if (m_options.inStore)
                stream.endsAt += *stream.takenUpAt - m_now;
        }
    }
    StreamStoreModel &store() { return m_store; }
    void cut(std::size_t dataCentre) { m_cutDataCentre = dataCentre; }
    /// Counts only streams that began this long before their instance ended.
    void countFrom(std::chrono::milliseconds age) { m_countedFrom = age; }

    [[nodiscard]] std::size_t size() const { return m_instances.size(); }
    /// Part of the streams that were taken up whose origin was known.
    [[nodiscard]] double known() const { return m_takenUp == 0 ? 0 : double(m_known) / m_takenUp; }
    [[nodiscard]] int takenUp() const { return m_takenUp; }
    [[nodiscard]] int wrong() const { return m_wrong; }
    [[nodiscard]] double queriesPerStream() const { return double(m_queries) / m_takenUp; }
    /// Bytes of records that an instance sends in a second for each stream that begins in a second.
    [[nodiscard]] double bytesPerStream() const
    {
        return double(m_bytes) / m_begun / double(m_instances.size());
    }
    [[nodiscard]] std::size_t holders() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            m_instances, [this](const auto &each) { return each && holdsRecords(*each); }));
    }
    [[nodiscard]] std::size_t mostRecords() const { return m_mostRecords; }

private:
    struct Instance
    {
        std::string process;
        serving::PeerCalls calls;
        ReportBook book;
        serving::StreamRecords records;
        StreamExchange streams { records };
        StreamStoreModel::Client store;

        Instance(const std::string &name, const serving::OverlayPeer &own, std::string given,
                 std::uint64_t seed)
            : process(std::move(given))
            , calls(name, own)
            , records(seed)
        { }
    };
    struct Stream
    {
        std::uint64_t key = 0;
        serving::StreamOrigin origin;
        std::size_t instance = 0;
        SteadyTime begunAt;
        SteadyTime endsAt;
        std::optional<SteadyTime> takenUpAt;
        bool counted = true;
        /// The instance that has not found the origin at first, and reads the store or lets others
        /// read it.
        std::optional<std::size_t> waitsAt;
    };

    static constexpr std::chrono::milliseconds Tick { 20 };
    static constexpr std::chrono::milliseconds KeptFor { 15000 };
    /// A killed process is back after this long, and its callers come back within twice this time.
    static constexpr std::chrono::milliseconds DownFor { 800 };
    /// As in OriginResolver.
    static constexpr std::chrono::milliseconds GroupsWait { 150 };

    [[nodiscard]] static serving::OverlayPeer peerInfo(std::size_t i)
    {
        return { "dc-" + std::to_string(i % DataCentres), i % 5 == 0 ? 500U : 120U };
    }

    std::unique_ptr<Instance> start(std::size_t i)
    {
        auto instance = std::make_unique<Instance>(m_names[i], peerInfo(i),
                                                   m_names[i] + "/" + std::to_string(++m_starts),
                                                   m_random.next());
        for (std::size_t other = 0; other < m_names.size(); ++other) {
            if (other != i)
                instance->calls.addPeer(m_names[other], peerInfo(other));
        }
        return instance;
    }

    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const
    {
        if (!m_instances[from] || !m_instances[to])
            return false;
        const auto isCut = [this](std::size_t i) {
            return m_cutDataCentre && i % DataCentres == *m_cutDataCentre;
        };
        return isCut(from) == isCut(to);
    }

    exchange::v1::LoadReport report(std::size_t from, std::size_t to)
    {
        Instance &sender = *m_instances[from];
        exchange::v1::LoadReport own;
        own.set_instance(m_names[from]);
        own.set_process(sender.process);
        const bool asMember = !sender.calls.overlay().isHub() && !sender.book.hasMembers(m_now);
        exchange::v1::LoadReport report = sender.book.reportFor(m_names[to], own, asMember, m_now);
        sender.streams.addTo(report, m_names[to], m_now);
        m_bytes += report.streams().ByteSizeLong();
        return report;
    }

    void receive(std::size_t at, const exchange::v1::LoadReport &report)
    {
        Instance &receiver = *m_instances[at];
        receiver.calls.reportReceived(report.instance(), m_now);
        receiver.book.addReport(report, m_now);
        receiver.streams.reportReceived(report, m_now);
        m_mostRecords = std::max(m_mostRecords, receiver.records.size());
    }

    void exchange(std::size_t i)
    {
        if (!m_instances[i])
            return;
        Instance &instance = *m_instances[i];
        for (const std::string &name :
             instance.calls.dueCalls(m_now, instance.book.hasMembers(m_now))) {
            const std::size_t peer = m_byName.at(name);
            if (!reaches(i, peer)) {
                instance.calls.callFailed(name, m_now);
                continue;
            }
            // A part of the reports arrive and their answers are lost.
            const bool lost = m_random.below(50) == 0;
            receive(peer, report(i, peer));
            instance.calls.callAnswered(name);
            if (!lost)
                receive(i, report(peer, i));
        }
    }

    [[nodiscard]] bool holdsRecords(const Instance &instance) const
    {
        return instance.calls.overlay().isHub() || instance.book.hasMembers(m_now);
    }

    void useStore(std::size_t i)
    {
        if (!m_instances[i])
            return;
        Instance &instance = *m_instances[i];
        instance.calls.updateOverlay();
        if (holdsRecords(instance))
            m_store.tick(m_names[i], instance.store, instance.records,
                         instance.book.hasMembers(m_now), m_now);
    }

    [[nodiscard]] std::chrono::milliseconds streamLength()
    {
        const auto spread = (m_options.longest - m_options.shortest).count();
        if (spread == 0)
            return m_options.shortest;
        return m_options.shortest
            + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(spread)));
    }

    void beginStreams()
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (!m_instances[i] || m_random.below(8) != 0)
                continue;
            Stream stream;
            stream.key = ++m_lastKey * 0x9e3779b97f4a7c15U;
            stream.origin = { "lm", "v" + std::to_string(m_random.below(3)) };
            stream.instance = i;
            stream.begunAt = m_now;
            stream.endsAt = m_now + streamLength();
            m_instances[i]->records.add({ stream.key, stream.origin, KeptFor }, m_now);
            ++m_begun;
            m_streams.push_back(std::move(stream));
        }
        std::erase_if(m_streams, [this](const Stream &stream) {
            return stream.endsAt <= m_now && !stream.takenUpAt;
        });
    }

    void takeUpStreams()
    {
        for (Stream &stream : m_streams) {
            if (!stream.takenUpAt || *stream.takenUpAt > m_now)
                continue;
            const std::size_t at =
                stream.waitsAt ? *stream.waitsAt : m_random.below(m_instances.size());
            if (!m_instances[at])
                continue;
            const auto origin = resolve(at, stream.key);
            if (!origin && m_options.inStore && !stream.waitsAt) {
                stream.waitsAt = at;
                stream.takenUpAt = m_now + GroupsWait;
                m_instances[at]->store.readWanted |= holdsRecords(*m_instances[at]);
                continue;
            }
            stream.takenUpAt.reset();
            stream.waitsAt.reset();
            m_takenUp += stream.counted ? 1 : 0;
            m_known += stream.counted && origin ? 1 : 0;
            m_wrong += origin && *origin != stream.origin ? 1 : 0;
            if (!origin)
                stream.endsAt = m_now;
            else
                m_instances[at]->records.add({ stream.key, *origin, KeptFor }, m_now);
            stream.instance = at;
        }
    }

    /// Returns what the instance finds out by itself, or by asking the others in their order.
    std::optional<serving::StreamOrigin> resolve(std::size_t at, std::uint64_t key)
    {
        if (const auto own = m_instances[at]->records.find(key, m_now))
            return own->origin;
        m_instances[at]->calls.updateOverlay();
        const serving::Overlay &overlay = m_instances[at]->calls.overlay();
        std::vector<std::string> order = overlay.targets();
        for (const std::string &hub :
             rendezvousOrder(std::to_string(m_random.next()), overlay.hubs())) {
            if (std::ranges::find(order, hub) == order.end())
                order.push_back(hub);
        }
        for (const std::string &name : order) {
            const std::size_t peer = m_byName.at(name);
            ++m_queries;
            if (!reaches(at, peer))
                continue;
            if (const auto known = m_instances[peer]->records.find(key, m_now))
                return known->origin;
            m_instances[peer]->store.readWanted = true;
        }
        return std::nullopt;
    }

    StreamFleetOptions m_options;
    Random m_random;
    StreamStoreModel m_store;
    SteadyTime m_now { std::chrono::seconds(100) };
    std::vector<std::string> m_names;
    std::map<std::string, std::size_t> m_byName;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<SteadyTime> m_downUntil;
    std::optional<std::size_t> m_cutDataCentre;
    std::chrono::milliseconds m_countedFrom { 0 };
    std::vector<Stream> m_streams;
    std::uint64_t m_lastKey = 0;
    int m_starts = 0;
    int m_begun = 0;
    int m_takenUp = 0;
    int m_known = 0;
    int m_wrong = 0;
    int m_queries = 0;
    std::size_t m_bytes = 0;
    std::size_t m_mostRecords = 0;
};

} // namespace snipestall::gateway
