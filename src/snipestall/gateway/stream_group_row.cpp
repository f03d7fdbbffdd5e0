#include "stream_group_row.hpp"

#include "exchange.pb.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <utility>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace v1 = exchange::v1;

std::string encodeStreamGroup(const serving::StreamGroup &group)
{
    v1::StoredStreams row;
    row.set_written_at_ms(group.writtenAt.count());
    std::map<serving::StreamOrigin, std::uint32_t> indices;
    for (const serving::StoredStream &each : group.streams) {
        if (each.expiresAt <= group.writtenAt)
            continue;
        const auto [at, isNew] =
            indices.try_emplace(each.origin, static_cast<std::uint32_t>(indices.size()));
        if (isNew) {
            v1::StreamOrigin *origin = row.add_origins();
            origin->set_service(each.origin.service);
            origin->set_version(each.origin.version);
        }
        row.add_keys(each.key);
        row.add_origin(at->second);
        const auto kept = std::chrono::ceil<seconds>(each.expiresAt - group.writtenAt);
        row.add_keep_s(static_cast<std::uint32_t>(kept.count()));
    }
    return row.SerializeAsString();
}

std::optional<serving::StreamGroup> decodeStreamGroup(const std::string &text)
{
    v1::StoredStreams row;
    // Times beyond some 30,000 years would overflow below.
    constexpr std::int64_t MaxTime = 1'000'000'000'000'000;
    if (!row.ParseFromString(text) || row.written_at_ms() < 0 || row.written_at_ms() > MaxTime)
        return std::nullopt;
    serving::StreamGroup group;
    group.writtenAt = milliseconds(row.written_at_ms());
    const int count = std::min({ row.keys_size(), row.origin_size(), row.keep_s_size() });
    for (int i = 0; i < count; ++i) {
        const bool isReadable = row.origin(i) < static_cast<std::uint32_t>(row.origins_size())
            && seconds(row.keep_s(i)) <= serving::StreamGroups::MaxKept + seconds(1);
        if (!isReadable)
            continue;
        const v1::StreamOrigin &origin = row.origins(static_cast<int>(row.origin(i)));
        group.streams.push_back({ row.keys(i),
                                  { origin.service(), origin.version() },
                                  group.writtenAt + seconds(row.keep_s(i)) });
    }
    return group;
}

} // namespace snipestall::gateway
