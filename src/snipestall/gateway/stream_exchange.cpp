#include "snipestall/gateway/stream_exchange.hpp"

#include "snipestall/serving/stream_records.hpp"

#include "exchange.pb.h"

#include <algorithm>
#include <chrono>

namespace snipestall::gateway {

using std::chrono::seconds;
namespace v1 = exchange::v1;

void StreamExchange::addTo(v1::LoadReport &report, const std::string &receiver,
                           SteadyTime now) const
{
    const auto found = m_peers.find(receiver);
    const Peer peer = found == m_peers.end() ? Peer {} : found->second;
    report.set_streams_received(peer.received);
    if (report.for_member())
        return;
    const serving::StreamRecords::Batch batch = m_records.since(peer.confirmed, now);
    v1::StreamRecords &streams = *report.mutable_streams();
    streams.set_next(batch.next);
    std::map<serving::StreamOrigin, std::uint32_t> indices;
    for (const serving::StreamRecord &record : batch.records) {
        const auto [at, isNew] =
            indices.try_emplace(record.origin, static_cast<std::uint32_t>(indices.size()));
        if (isNew) {
            v1::StreamOrigin *origin = streams.add_origins();
            origin->set_service(record.origin.service);
            origin->set_version(record.origin.version);
        }
        streams.add_keys(record.key);
        streams.add_origin(at->second);
        const auto kept = std::chrono::ceil<seconds>(record.keptFor);
        streams.add_keep_s(static_cast<std::uint32_t>(kept.count()));
    }
}

void StreamExchange::reportReceived(const v1::LoadReport &report, SteadyTime now)
{
    Peer &peer = m_peers[report.instance()];
    if (peer.process != report.process())
        peer = { report.process(), 0, 0 };
    peer.confirmed = report.streams_received();
    if (!report.has_streams())
        return;
    const v1::StreamRecords &streams = report.streams();
    peer.received = std::max(peer.received, streams.next());
    const int count =
        std::min({ streams.keys_size(), streams.origin_size(), streams.keep_s_size() });
    for (int i = 0; i < count; ++i) {
        if (streams.origin(i) >= static_cast<std::uint32_t>(streams.origins_size()))
            continue;
        const v1::StreamOrigin &origin = streams.origins(static_cast<int>(streams.origin(i)));
        const serving::StreamRecord record { streams.keys(i),
                                             { origin.service(), origin.version() },
                                             seconds(streams.keep_s(i)) };
        // The hub of the sender passes its records on to the other hubs.
        if (report.to_hub())
            m_records.add(record, now);
        else
            m_records.addHeard(record, now);
    }
}

bool StreamExchange::answer(std::uint64_t key, v1::StreamAnswer &answer, SteadyTime now) const
{
    const auto known = m_records.find(key, now);
    if (!known)
        return false;
    answer.set_status(known->origin ? v1::StreamAnswer::KNOWN : v1::StreamAnswer::AMBIGUOUS);
    answer.set_age_ms(static_cast<std::uint32_t>(known->age.count()));
    if (!known->origin)
        return true;
    answer.mutable_origin()->set_service(known->origin->service);
    answer.mutable_origin()->set_version(known->origin->version);
    return true;
}

} // namespace snipestall::gateway
