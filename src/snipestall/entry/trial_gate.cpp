#include "trial_gate.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/entry/crash_ledger.hpp"
#include "snipestall/peer/membership.hpp"
#include "snipestall/peer/peer_client.hpp"
#include "snipestall/peer/peer_network.hpp"
#include "snipestall/wire/signal.hpp"

#include "peer.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace snipestall::entry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// A peer of the data centre answers within milliseconds. One that is cut off counts as lost after
/// three seconds; until then a new prompt that it decides on waits this long for each try.
constexpr milliseconds AskTimeout { 500 };
/// The next in order is asked where the first does not answer; then the prompt begins all the same.
constexpr std::size_t MostAsked = 2;
constexpr milliseconds AskAgain { 30 };
/// Shorter than the silence after which a server counts as stalled, since the copy that waits
/// occupies a slot. A prompt that takes longer to its first token is begun beside its copy then.
constexpr milliseconds LongestWait { 4000 };

std::uint64_t fingerprintOf(const Request &request)
{
    const RequestSpec &spec = request.spec();
    return CrashLedger::fingerprint(spec.customer, spec.service, spec.body);
}

} // namespace

TrialGate::TrialGate(boost::asio::io_context &io, peer::Membership &members,
                     peer::PeerNetwork &network, CrashLedger &crashes)
    : m_io(io)
    , m_members(members)
    , m_network(network)
    , m_crashes(crashes)
{ }

wire::Task<void> TrialGate::begin(RequestPtr request)
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
    const auto until = steady_clock::now() + LongestWait;
    bool told = false;
    while (true) {
        const std::optional<bool> wait = co_await ask(question);
        if (!wait)
            logEvent(events::TrialUndecided, { { "request", request->spec().id } });
        if (!wait.value_or(false))
            break;
        if (!std::exchange(told, true))
            logEvent(events::CopyWaits, { { "request", request->spec().id } });
        const bool decided = !m_crashes.servers(fingerprint).empty() || request->finished();
        if (decided || steady_clock::now() >= until)
            co_return;
        co_await wire::sleepFor(AskAgain);
    }
    if (m_begun.insert(request->spec().id).second)
        boost::asio::co_spawn(m_io, awaitFirstToken(request, fingerprint), boost::asio::detached);
}

wire::Task<std::optional<bool>> TrialGate::ask(peer::v1::TrialRequest question)
{
    const std::string key = std::to_string(question.fingerprint());
    std::vector<std::string> order = rendezvousOrder(key, m_members.owners());
    order.resize(std::min(order.size(), MostAsked));
    for (const std::string &name : order) {
        if (name == m_members.self())
            co_return onTrial(question).wait();
        peer::PeerClient *client = m_network.client(name);
        if (client == nullptr)
            continue;
        const auto reply = co_await client->trial(question, AskTimeout);
        if (!reply)
            continue;
        noteCrashes(*reply);
        co_return reply->wait();
    }
    co_return std::nullopt;
}

peer::v1::TrialReply TrialGate::onTrial(const peer::v1::TrialRequest &request)
{
    const auto now = steady_clock::now();
    for (const peer::v1::CrashReport &report : request.crashes())
        m_crashes.note({ report.fingerprint(), report.server() }, now);
    peer::v1::TrialReply reply;
    if (request.over())
        m_book.over(request.fingerprint(), request.request());
    else
        reply.set_wait(
            !m_book.mayBegin({ request.fingerprint(), request.request(), request.home() }, now));
    // What a copy has cost comes with the answer: the report may not be round yet.
    for (const std::string &server : m_crashes.servers(request.fingerprint())) {
        peer::v1::CrashReport *report = reply.add_crashes();
        report->set_fingerprint(request.fingerprint());
        report->set_server(server);
    }
    return reply;
}

void TrialGate::noteCrashes(const peer::v1::TrialReply &reply)
{
    for (const peer::v1::CrashReport &report : reply.crashes())
        m_crashes.note({ report.fingerprint(), report.server() }, steady_clock::now());
}

wire::Task<void> TrialGate::awaitFirstToken(RequestPtr request, std::uint64_t fingerprint)
{
    while (!request->finished() && !request->moved && request->nextOffset() == 0)
        co_await request->changed().wait();
    m_begun.erase(request->spec().id);
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
