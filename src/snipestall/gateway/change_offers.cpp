#include "snipestall/gateway/change_offers.hpp"

#include "snipestall/gateway/table_changes.hpp"
#include "snipestall/gateway/table_copy.hpp"

#include "exchange.pb.h"

namespace snipestall::gateway {

namespace v1 = exchange::v1;

ChangeOffers::Offer &ChangeOffers::encoded(Key key, SteadyTime now)
{
    std::erase_if(m_encoded,
                  [now](const auto &entry) { return now - entry.second.usedAt > EncodedKeptFor; });
    Encoded &entry = m_encoded[key];
    entry.usedAt = now;
    return entry.offer;
}

ChangeOffers::Offer ChangeOffers::offer(const TableCopy &copy, std::int64_t from, SteadyTime now)
{
    Offer &known = encoded({ from, false }, now);
    if (known.to == copy.version())
        return known;
    known = { copy.version(), nullptr };
    if (const auto changes = copy.since(from))
        known.bytes = std::make_shared<const std::string>(encodeChanges(*changes));
    return known;
}

bool ChangeOffers::admit(const std::string &instance, SteadyTime now)
{
    std::erase_if(m_transfers,
                  [now](const auto &entry) { return now - entry.second > TransferKeptFor; });
    if (m_transfers.size() >= MaxTransfers && !m_transfers.contains(instance))
        return false;
    m_transfers[instance] = now;
    return true;
}

v1::ChangesAnswer ChangeOffers::answer(const v1::ChangesRequest &request, const TableCopy &copy,
                                       SteadyTime now)
{
    v1::ChangesAnswer answer;
    if (!admit(request.instance(), now)) {
        answer.set_status(v1::ChangesAnswer::BUSY);
        answer.set_to(copy.version());
        return answer;
    }
    Offer &known = encoded({ request.from(), request.whole_rows() }, now);
    // A receiver that has begun gets the rest of the same bytes, even if there are later changes.
    const bool goesOn = request.offset() > 0 && known.to == request.to();
    if (!goesOn && known.to != copy.version()) {
        const auto changes =
            request.whole_rows() ? copy.wholeSince(request.from()) : copy.since(request.from());
        known = { copy.version(), nullptr };
        if (changes)
            known.bytes = std::make_shared<const std::string>(encodeChanges(*changes));
    }
    const std::uint64_t offset = goesOn ? request.offset() : 0;
    if (!known.bytes || offset >= known.bytes->size()) {
        m_transfers.erase(request.instance());
        answer.set_status(v1::ChangesAnswer::GONE);
        return answer;
    }
    answer.set_status(v1::ChangesAnswer::PART);
    answer.set_to(known.to);
    answer.set_size(known.bytes->size());
    answer.set_part(known.bytes->substr(offset, PartBytes));
    if (offset + answer.part().size() == known.bytes->size())
        m_transfers.erase(request.instance());
    return answer;
}

} // namespace snipestall::gateway
