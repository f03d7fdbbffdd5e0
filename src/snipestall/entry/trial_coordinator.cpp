#include "trial_coordinator.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/entry/crash_ledger.hpp"
#include "snipestall/peer/membership.hpp"
#include "snipestall/peer/peer_client.hpp"
#include "snipestall/peer/peer_network.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace snipestall::entry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// A reachable peer of the data centre answers within milliseconds. An unreachable peer counts as
/// lost only after three seconds; until then each question about a new prompt that it decides waits
/// this long.
constexpr milliseconds AskTimeout { 500 };
/// The second instance in rendezvous order is asked if the first does not answer. If neither
/// answers, the prompt starts anyway.
constexpr std::size_t MaxAsked = 2;
/// Time between two questions while a copy has to wait.
constexpr milliseconds AskInterval { 30 };
/// Shorter than the time without output after which a server counts as stalled, because the waiting
/// copy occupies a slot. If the first token of the other copy takes longer, the waiting copy starts
/// beside it.
constexpr milliseconds MaxWait { 4000 };

std::uint64_t fingerprintOf(const Request &request)
{
    const RequestSpec &spec = request.spec();
    return CrashLedger::fingerprint(spec.customer, spec.service, spec.body);
}

} // namespace

TrialCoordinator::TrialCoordinator(boost::asio::io_context &io, peer::Membership &members,
                                   peer::PeerNetwork &network, CrashLedger &crashes)
    : m_io(io)
    , m_members(members)
    , m_network(network)
    , m_crashes(crashes)
{ }

wire::Task<void> TrialCoordinator::awaitTurn(RequestPtr request)
{
    const std::uint64_t fingerprint = fingerprintOf(*request);
    const bool model = request->spec().kind == settings::ServiceKind::Model;
    if (!model || request->forwarded || request->nextOffset() > 0
        || m_answered.contains(fingerprint))
        co_return;
    peer::v1::TrialRequest question;
    question.set_fingerprint(fingerprint);
    question.set_request(request->spec().id);
    question.set_home(m_members.self());
    const auto waitEnd = steady_clock::now() + MaxWait;
    bool logged = false;
    while (true) {
        const std::optional<bool> wait = co_await ask(question);
        if (!wait)
            logEvent(events::TrialUndecided, { { "request", request->spec().id } });
        if (!wait.value_or(false))
            break;
        if (!std::exchange(logged, true))
            logEvent(events::CopyWaits, { { "request", request->spec().id } });
        const bool decided = !m_crashes.servers(fingerprint).empty() || request->finished();
        if (decided || steady_clock::now() >= waitEnd)
            co_return;
        co_await wire::sleepFor(AskInterval);
    }
    if (m_awaitingFirstToken.insert(request->spec().id).second)
        wire::spawn(m_io, awaitFirstToken(request, fingerprint), "trial");
}

wire::Task<std::optional<bool>> TrialCoordinator::ask(peer::v1::TrialRequest question)
{
    const std::string key = std::to_string(question.fingerprint());
    std::vector<std::string> order = rendezvousOrder(key, m_members.owners());
    order.resize(std::min(order.size(), MaxAsked));
    for (const std::string &name : order) {
        if (name == m_members.self())
            co_return onTrial(question).wait();
        peer::PeerClient *client = m_network.client(name);
        if (client == nullptr)
            continue;
        const auto reply = co_await client->trial(question, AskTimeout);
        if (!reply)
            continue;
        recordCrashes(*reply);
        co_return reply->wait();
    }
    co_return std::nullopt;
}

peer::v1::TrialReply TrialCoordinator::onTrial(const peer::v1::TrialRequest &request)
{
    const auto now = steady_clock::now();
    for (const peer::v1::CrashReport &report : request.crashes())
        m_crashes.add({ report.fingerprint(), report.server() }, now);
    peer::v1::TrialReply reply;
    if (request.over())
        m_registry.endTrial(request.fingerprint(), request.request());
    else
        reply.set_wait(!m_registry.mayStart(
            { request.fingerprint(), request.request(), request.home() }, now));
    // The reply includes the servers that a copy has crashed, because the crash report may not have
    // reached all peers yet.
    for (const std::string &server : m_crashes.servers(request.fingerprint())) {
        peer::v1::CrashReport *report = reply.add_crashes();
        report->set_fingerprint(request.fingerprint());
        report->set_server(server);
    }
    return reply;
}

void TrialCoordinator::recordCrashes(const peer::v1::TrialReply &reply)
{
    for (const peer::v1::CrashReport &report : reply.crashes())
        m_crashes.add({ report.fingerprint(), report.server() }, steady_clock::now());
}

wire::Task<void> TrialCoordinator::awaitFirstToken(RequestPtr request, std::uint64_t fingerprint)
{
    while (!request->finished() && !request->moved && request->nextOffset() == 0)
        co_await request->changed().wait();
    m_awaitingFirstToken.erase(request->spec().id);
    if (request->nextOffset() > 0)
        m_answered.add(fingerprint, steady_clock::now());
    peer::v1::TrialRequest question;
    question.set_fingerprint(fingerprint);
    question.set_request(request->spec().id);
    question.set_home(m_members.self());
    question.set_over(true);
    for (const std::string &server : m_crashes.servers(fingerprint)) {
        peer::v1::CrashReport *report = question.add_crashes();
        report->set_fingerprint(fingerprint);
        report->set_server(server);
    }
    co_await ask(std::move(question));
}

} // namespace snipestall::entry
