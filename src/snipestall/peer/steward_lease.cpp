#include "snipestall/peer/steward_lease.hpp"

#include <boost/json.hpp>

#include <utility>

namespace snipestall::peer {

namespace json = boost::json;
using platform::Transaction;
using std::chrono::milliseconds;

std::string encodeSteward(const StewardRow &row)
{
    json::object object;
    object["holder"] = row.holder;
    object["incarnation"] = row.incarnation;
    object["fencing"] = row.fencing;
    object["term_ms"] = row.term.count();
    object["token"] = row.token;
    object["released"] = row.released;
    return json::serialize(object);
}

Result<StewardRow> decodeSteward(const platform::Row &row)
{
    try {
        const json::value parsed = json::parse(row.value);
        const json::object &object = parsed.as_object();
        StewardRow steward;
        steward.holder = std::string(object.at("holder").as_string());
        steward.incarnation = object.at("incarnation").to_number<std::uint64_t>();
        steward.fencing = object.at("fencing").to_number<std::uint64_t>();
        steward.term = milliseconds(object.at("term_ms").to_number<std::int64_t>());
        steward.token = std::string(object.at("token").as_string());
        steward.released = object.at("released").as_bool();
        return steward;
    } catch (const std::exception &damaged) {
        return fail(ErrorKind::Internal,
                    std::string("the steward's row can't be read: ") + damaged.what()
                        + "; mend it by hand, its fencing number must not go down");
    }
}

StewardLease::StewardLease(std::string dataCentre, std::string instance, std::uint64_t incarnation,
                           StewardOptions options, std::string tokenPrefix)
    : m_rowKey { "stewards", std::move(dataCentre) }
    , m_instance(std::move(instance))
    , m_incarnation(incarnation)
    , m_options(options)
    , m_tokenPrefix(std::move(tokenPrefix))
{ }

void StewardLease::observe(const platform::Row *row, SteadyTime now)
{
    const std::uint64_t version = row == nullptr ? 0 : row->version;
    if (!m_readable || version != m_rowVersion)
        m_unchangedSince = now;
    m_rowVersion = version;
    m_readable = true;
    m_row = {};
    if (row != nullptr) {
        const auto decoded = decodeSteward(*row);
        // Without its fencing number the row can't be taken over: numbers would start again.
        m_readable = decoded.has_value();
        m_row = decoded.value_or(StewardRow());
    }
    const bool oursAfterAll = m_sent && m_row.token == m_sent->row.token;
    if (oursAfterAll)
        adopt(*m_sent);
    // Whatever was sent before this read can only land if the row is still as it was then; the
    // next write is made against the row as it is now, so at most one of the two takes effect.
    if (m_row.token != m_token)
        m_mine = false;
}

bool StewardLease::mayTake(SteadyTime now) const
{
    if (m_rowVersion == 0 || m_row.released)
        return true;
    return now - m_unchangedSince >= m_row.term;
}

std::optional<Transaction> StewardLease::nextWrite(SteadyTime now)
{
    if (!m_readable)
        return std::nullopt;
    if (!m_mine && !mayTake(now))
        return std::nullopt;
    StewardRow next;
    next.holder = m_instance;
    next.incarnation = m_incarnation;
    next.fencing = m_mine ? m_fencing : m_row.fencing + 1;
    next.term = m_options.term;
    next.token = m_tokenPrefix + "." + std::to_string(++m_tokens);
    return send(std::move(next), now);
}

Transaction StewardLease::send(StewardRow row, SteadyTime now)
{
    Transaction transaction;
    transaction.conditions.push_back({ m_rowKey, m_rowVersion });
    transaction.writes.push_back({ m_rowKey, encodeSteward(row) });
    m_sent = Sent { std::move(row), now };
    return transaction;
}

void StewardLease::written(const Result<platform::TransactionOutcome> &outcome)
{
    // A lost answer: the next observe() sees whether the row is this one.
    if (!outcome)
        return;
    const Sent sent = *std::exchange(m_sent, std::nullopt);
    if (outcome->committed)
        adopt(sent);
    else
        m_mine = false;
}

void StewardLease::adopt(const Sent &sent)
{
    const Sent taken = sent;
    // The last holder's lease is over by now, but an order that it sent just before its end may
    // still be on its way; the first order of this lease comes after it.
    if (!m_mine || m_fencing != taken.row.fencing)
        m_ordersFrom = taken.at + m_options.longestOrder;
    m_mine = true;
    m_fencing = taken.row.fencing;
    m_token = taken.row.token;
    m_leaseFrom = taken.at;
    m_sent.reset();
}

std::optional<Transaction> StewardLease::release()
{
    const bool wasMine = std::exchange(m_mine, false);
    if (!wasMine || m_row.token != m_token)
        return std::nullopt;
    StewardRow last = m_row;
    last.released = true;
    last.token = m_tokenPrefix + ".released";
    Transaction transaction;
    transaction.conditions.push_back({ m_rowKey, m_rowVersion });
    transaction.writes.push_back({ m_rowKey, encodeSteward(last) });
    return transaction;
}

bool StewardLease::held(SteadyTime now) const
{
    return m_mine && now < m_leaseFrom + m_options.term;
}

// A holder can be paused for any time between any two of its steps, and on waking would go on as if
// nothing had happened. It asks this right before each order: the monotonic clock has gone on, so
// a lease that ended meanwhile gives no number. What is left, a pause between this and the send, is
// covered by the safety margin and by the fencing number in the order.
std::optional<std::uint64_t> StewardLease::mayOrder(SteadyTime now) const
{
    const SteadyTime ordersUntil = m_leaseFrom + m_options.term - m_options.safetyMargin;
    if (!m_mine || now < m_ordersFrom || now >= ordersUntil)
        return std::nullopt;
    return m_fencing;
}

} // namespace snipestall::peer
