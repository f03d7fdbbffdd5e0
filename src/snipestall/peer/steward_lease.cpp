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
    object["fencing"] = row.fencingToken;
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
        steward.fencingToken = object.at("fencing").to_number<std::uint64_t>();
        steward.term = milliseconds(object.at("term_ms").to_number<std::int64_t>());
        steward.token = std::string(object.at("token").as_string());
        steward.released = object.at("released").as_bool();
        return steward;
    } catch (const std::exception &damaged) {
        return fail(ErrorKind::Internal,
                    std::string("can't decode the steward's row: ") + damaged.what()
                        + "; repair it by hand; its fencing token must not decrease");
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
        // A row without a readable fencing token can't be taken over, because the tokens would
        // start again from 1.
        m_readable = decoded.has_value();
        m_row = decoded.value_or(StewardRow());
    }
    const bool tookEffect = m_pendingWrite && m_row.token == m_pendingWrite->row.token;
    if (tookEffect)
        adopt(*m_pendingWrite);
    // A write that was sent before this read can take effect only if the row is unchanged since.
    // The next write is conditional on the row as it is now, so at most one of the two takes
    // effect.
    if (m_row.token != m_token)
        m_isHolder = false;
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
    if (!m_isHolder && !mayTake(now))
        return std::nullopt;
    StewardRow next;
    next.holder = m_instance;
    next.incarnation = m_incarnation;
    next.fencingToken = m_isHolder ? m_fencingToken : m_row.fencingToken + 1;
    next.term = m_options.term;
    next.token = m_tokenPrefix + "." + std::to_string(++m_tokens);
    return send(std::move(next), now);
}

Transaction StewardLease::send(StewardRow row, SteadyTime now)
{
    Transaction transaction;
    transaction.conditions.push_back({ m_rowKey, m_rowVersion });
    transaction.writes.push_back({ m_rowKey, encodeSteward(row) });
    m_pendingWrite = PendingWrite { std::move(row), now };
    return transaction;
}

void StewardLease::writeCompleted(const Result<platform::TransactionOutcome> &outcome)
{
    // After a lost answer the next observe() finds out whether the write took effect.
    if (!outcome)
        return;
    const PendingWrite sent = *std::exchange(m_pendingWrite, std::nullopt);
    if (outcome->committed)
        adopt(sent);
    else
        m_isHolder = false;
}

void StewardLease::adopt(const PendingWrite &sent)
{
    const PendingWrite taken = sent;
    // The previous holder's lease has ended, but an order that it sent just before may still be in
    // transit. The first order of this lease must come after it.
    if (!m_isHolder || m_fencingToken != taken.row.fencingToken)
        m_ordersStart = taken.at + m_options.maxOrderDelay;
    m_isHolder = true;
    m_fencingToken = taken.row.fencingToken;
    m_token = taken.row.token;
    m_leaseStart = taken.at;
    m_pendingWrite.reset();
}

std::optional<Transaction> StewardLease::release()
{
    const bool wasHolder = std::exchange(m_isHolder, false);
    if (!wasHolder || m_row.token != m_token)
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
    return m_isHolder && now < m_leaseStart + m_options.term;
}

// A holder's process can be suspended for any time between any two of its steps and resumes as if
// nothing had happened. It therefore calls this immediately before each order: the monotonic clock
// advances during the suspension, so a lease that ended meanwhile gives no token. A suspension
// between this call and the send is covered by the safety margin and by the fencing token in the
// order.
std::optional<std::uint64_t> StewardLease::mayOrder(SteadyTime now) const
{
    const SteadyTime ordersEnd = m_leaseStart + m_options.term - m_options.safetyMargin;
    if (!m_isHolder || now < m_ordersStart || now >= ordersEnd)
        return std::nullopt;
    return m_fencingToken;
}

} // namespace snipestall::peer
