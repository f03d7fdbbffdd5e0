#include "snipestall/gateway/origin_resolver.hpp"

#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/gateway/load_exchange.hpp"
#include "snipestall/gateway/stream_group_store.hpp"
#include "snipestall/gateway/version_registrar.hpp"
#include "snipestall/wire/signal.hpp"

#include "exchange.pb.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace snipestall::gateway {

using std::chrono::milliseconds;
using wire::Task;
namespace v1 = exchange::v1;

namespace {

/// Several times the usual response time of the store. Callers wait meanwhile.
constexpr milliseconds StoreWait { 60 };
/// Instances are asked a few at a time, those next that may know when these have not answered
/// within a few round trips.
constexpr std::size_t AskedAtOnce = 4;
constexpr milliseconds NextAfter { 30 };
constexpr milliseconds AskTime { 90 };
constexpr milliseconds AnswerTick { 1 };
/// The groups of a large fleet are some hundred kilobytes.
constexpr milliseconds GroupsWait { 150 };
constexpr auto Unknown = "unknown";
/// Bounds the calls after a fault that breaks many streams at once.
constexpr int MaxSearches = 64;

} // namespace

/// Answers of the instances that were asked for one stream.
struct OriginResolver::Search
{
    std::size_t pending = 0;
    bool ambiguous = false;
    std::optional<ResolvedOrigin> found;

    void answered(const std::string &instance, const v1::StreamAnswer &answer)
    {
        ambiguous |= answer.status() == v1::StreamAnswer::AMBIGUOUS;
        if (answer.status() != v1::StreamAnswer::KNOWN)
            return;
        const serving::StreamOrigin origin { answer.origin().service(), answer.origin().version() };
        ambiguous |= found && found->origin != origin;
        found = ResolvedOrigin { origin, instance, milliseconds(answer.age_ms()) };
    }
};

OriginResolver::OriginResolver(GatewayState &state, VersionRegistrar &registrar,
                               LoadExchange &exchange, StreamGroupStore &groups)
    : m_state(state)
    , m_registrar(registrar)
    , m_exchange(exchange)
    , m_groups(groups)
{ }

Task<ResolvedOrigin> OriginResolver::resolve(std::optional<std::uint64_t> key)
{
    const std::optional<ResolvedOrigin> own = key ? ownRecord(*key) : std::nullopt;
    if (own)
        co_return *own;
    ResolvedOrigin only = co_await onlyVersion();
    if (only.origin || !key)
        co_return only;
    ResolvedOrigin asked = co_await askOthers(*key);
    if (asked.source == Unknown && m_state.streamVersions.several())
        asked = co_await readStored(*key);
    co_return asked;
}

Task<ResolvedOrigin> OriginResolver::readStored(std::uint64_t key)
{
    if (!m_groups.holdsRecords()) {
        // Those that were asked read the store meanwhile.
        co_await wire::sleepFor(GroupsWait);
        co_return co_await askOthers(key);
    }
    const bool isRead = co_await m_groups.readRecently(GroupsWait);
    ResolvedOrigin unknown;
    unknown.source = isRead ? Unknown : "store-lost";
    co_return ownRecord(key).value_or(unknown);
}

std::optional<ResolvedOrigin> OriginResolver::ownRecord(std::uint64_t key) const
{
    const auto known = m_state.streamRecords.find(key, m_state.clock.steadyNow());
    if (!known)
        return std::nullopt;
    ResolvedOrigin resolved { known->origin, "own-record", known->age };
    if (known->fromStore)
        resolved.source = StoreGroupsSource;
    if (!known->origin)
        resolved.source = "ambiguous";
    return resolved;
}

Task<ResolvedOrigin> OriginResolver::onlyVersion()
{
    const SteadyTime now = m_state.clock.steadyNow();
    ResolvedOrigin resolved;
    resolved.source = "several-versions";
    if (!m_state.streamVersions.mayBeOnlyOne())
        co_return resolved;
    bool isRecent = m_state.streamVersions.onlyOrigin(now).has_value();
    if (!isRecent)
        isRecent = co_await m_registrar.readSince(now, StoreWait);
    if (!isRecent)
        resolved.source = "store-lost";
    resolved.origin = m_state.streamVersions.onlyOrigin(m_state.clock.steadyNow());
    if (resolved.origin) {
        resolved.source = "only-version";
        resolved.age = std::chrono::duration_cast<milliseconds>(
            m_state.clock.steadyNow() - *m_state.streamVersions.readBegunAt());
    }
    co_return resolved;
}

Task<ResolvedOrigin> OriginResolver::askOthers(std::uint64_t key)
{
    ResolvedOrigin unknown;
    unknown.source = m_searches < MaxSearches ? Unknown : "busy";
    if (m_searches >= MaxSearches)
        co_return unknown;
    ++m_searches;
    const auto search = std::make_shared<Search>();
    const std::vector<std::string> instances = m_exchange.recordHolders();
    const SteadyTime begun = m_state.clock.steadyNow();
    std::size_t asked = 0;
    SteadyTime nextAt = begun;
    while (!search->found && m_state.clock.steadyNow() - begun < AskTime) {
        const bool mayAsk = search->pending == 0 || m_state.clock.steadyNow() >= nextAt;
        if (mayAsk && asked == instances.size() && search->pending == 0)
            break;
        for (std::size_t i = 0; mayAsk && i < AskedAtOnce && asked < instances.size(); ++i) {
            const std::string &instance = instances[asked++];
            ++search->pending;
            m_exchange.findStream(instance, key, AskTime,
                                  [search, instance](const Result<const v1::StreamAnswer *> &got) {
                                      --search->pending;
                                      if (got)
                                          search->answered(instance, **got);
                                  });
        }
        if (mayAsk)
            nextAt = m_state.clock.steadyNow() + NextAfter;
        co_await wire::sleepFor(AnswerTick);
    }
    --m_searches;
    if (search->ambiguous) {
        unknown.source = "ambiguous";
        co_return unknown;
    }
    co_return search->found.value_or(unknown);
}

} // namespace snipestall::gateway
