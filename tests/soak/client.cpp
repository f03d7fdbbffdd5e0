#include "soak/client.hpp"

#include "soak/deployment.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/wire/event_stream_parser.hpp"
#include "snipestall/wire/http_stream.hpp"
#include "snipestall/wire/signal.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace snipestall::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr double MeanPauseMs = 40;
/// A client of the flooding customer looks this often whether the flood has begun.
constexpr milliseconds FloodPollInterval { 50 };
constexpr milliseconds Deadline { 3500 };
/// Longer than two silences in series and an answer.
constexpr milliseconds DeadlineWithSilences { 4500 };
/// Longer than a request may stay unanswered, which is its route's timeout and half a second.
constexpr milliseconds AnswerTimeout { 6000 };
/// A client that has lost a stream comes back within this time, a few times at most.
constexpr std::uint64_t LongestTakeUpPauseMs = 400;
constexpr int MaxTakeUps = 3;
/// After a kill of all gateways, clients come back until some serve again.
constexpr int MaxTakeUpsAfterKills = 15;
/// Share of the pauses that last up to four fifths of the smallest idle limit, in percent.
constexpr std::uint64_t LongPausePercent = 10;
/// Share of the requests that are sent on a connection of their own, in percent.
constexpr std::uint64_t FreshConnectionPercent = 15;

/// Share of the streams with the part that ends servers, in percent.
constexpr std::uint64_t CrashingPartPercent = 10;

struct KindEntry
{
    RequestKind kind;
    const char *method;
    const char *prefix;
    const char *suffix;
};

constexpr std::array<KindEntry, 5> Kinds { {
    { RequestKind::NonIdempotent, "POST", "/once/", "/x" },
    { RequestKind::Idempotent, "GET", "/safe/", "/x" },
    { RequestKind::ResumableStream, "POST", "/stream/", "/events" },
    { RequestKind::NonResumableStream, "POST", "/solo/", "/events" },
    { RequestKind::AddedRoute, "GET", "/new", "/x" },
} };

/// Id of the last whole event that the client has received of a stream.
int lastEventOf(const Attempt &attempt)
{
    wire::EventStreamParser parser;
    int last = attempt.after;
    for (const wire::StreamEvent &event : parser.feed(attempt.body))
        last = std::atoi(event.id.c_str());
    return last;
}

} // namespace

Client::Client(boost::asio::io_context &io, const Deployment &deployment, std::size_t number,
               std::uint64_t seed, bool floods)
    : m_deployment(deployment)
    , m_http(io)
    , m_random(seed)
    , m_floods(floods)
    , m_name((floods ? "f" : "c") + std::to_string(number))
    , m_gateway(number)
{ }

Attempt Client::nextAttempt()
{
    const auto &added = m_deployment.addedRoutes();
    const std::size_t drawn = m_random.below(added.empty() ? 4 : 5);
    const bool stream = m_deployment.topic() == Topic::StreamsAfterKills && m_random.below(2) == 0;
    const KindEntry &kind = stream
        ? *std::ranges::find(Kinds, RequestKind::ResumableStream, &KindEntry::kind)
        : Kinds.at(drawn);
    Attempt attempt;
    attempt.id = m_name + "-" + std::to_string(m_attempts.size());
    attempt.kind = kind.kind;
    attempt.method = kind.method;
    attempt.target = kind.prefix;
    if (kind.kind == RequestKind::AddedRoute)
        attempt.target += std::to_string(m_random.below(added.size())) + "/";
    // Some calls fail or lose their answer on whichever backend server they run.
    const std::uint64_t outcomeDraw = m_random.below(40);
    const bool call =
        kind.kind == RequestKind::NonIdempotent || kind.kind == RequestKind::Idempotent;
    attempt.target += call && outcomeDraw == 0 ? "fail"
        : call && outcomeDraw == 1             ? "lose"
                                               : "plain";
    attempt.target += kind.suffix;
    attempt.gateway = m_gateway % m_deployment.gateways();
    return attempt;
}

wire::Task<void> Client::send(Attempt &attempt)
{
    wire::HttpRequest request;
    request.method = attempt.method;
    request.target = attempt.target;
    if (attempt.method == "POST")
        request.body = "body of " + attempt.stream();
    attempt.bodyHash = stableHash(request.body);
    request.fields.set("Host", "a.example");
    request.fields.set("X-Attempt-Id", attempt.id);
    const milliseconds deadline =
        m_deployment.topic() == Topic::SilentServers ? DeadlineWithSilences : Deadline;
    request.fields.set("X-Deadline-Ms", std::to_string(deadline.count()));
    request.fields.set("Authorization", m_floods ? "Bearer flood" : "Bearer secret");
    if (!attempt.resumes.empty()) {
        request.fields.set("Resumes", attempt.resumes);
        request.fields.set("Last-Event-Id", std::to_string(attempt.after));
    }
    if (attempt.kind == RequestKind::ResumableStream
        || attempt.kind == RequestKind::NonResumableStream) {
        // Gateways measure the read rate of engines by long prompts that are not cached.
        const bool longPrompt = m_deployment.hasQueues();
        request.fields.set("X-Token-Count", longPrompt ? "4600,100" : "1000,100");
        attempt.crashing =
            !m_deployment.crashingPart().empty() && m_random.below(100) < CrashingPartPercent;
        const std::string crashing =
            attempt.crashing ? m_deployment.crashingPart() + ":200," : std::string();
        request.fields.set("X-Prompt-Prefix",
                           "a1:600," + crashing + "b"
                               + std::to_string(m_random.below(longPrompt ? 1000 : 9))
                               + (longPrompt ? ":4000" : ":400"));
    }
    wire::HttpCallOptions options;
    options.connectTimeout = 1s;
    options.idleTimeout = AnswerTimeout;
    options.freshConnection = m_random.below(100) < FreshConnectionPercent;
    const wire::Endpoint gateway = m_deployment.callerEndpoint(attempt.gateway);
    const auto stream = co_await m_http.open(gateway, std::move(request), options);
    if (!stream) {
        attempt.unsent = stream.error().kind == ErrorKind::Unavailable;
        co_return;
    }
    const wire::HttpResponse &head = (*stream)->head();
    attempt.status = head.status;
    attempt.seal = head.fields.find("X-Server-Seal").value_or("");
    attempt.echoedId = head.fields.find("X-Attempt-Id").value_or("");
    const auto retryAfter = head.fields.find("Retry-After");
    attempt.hasRetryAfter = retryAfter.has_value();
    attempt.retryAfter =
        milliseconds(std::lround(std::atof(retryAfter.value_or("").c_str()) * 1000));
    while (true) {
        auto bytes = co_await (*stream)->read();
        if (!bytes)
            co_return;
        if (!bytes->has_value())
            break;
        attempt.body += **bytes;
    }
    attempt.complete = true;
}

wire::Task<void> Client::record(Attempt &attempt)
{
    attempt.customer = m_floods ? FloodingCustomer : Customer;
    attempt.sent = std::chrono::steady_clock::now();
    co_await send(attempt);
    attempt.ended = std::chrono::steady_clock::now();
    // The next connection goes to another instance, as with the platform's load balancer.
    if (!attempt.complete || attempt.status == 503 || m_random.below(30) == 0)
        ++m_gateway;
    m_attempts.push_back(attempt);
}

wire::Task<void> Client::takeUp(Attempt broken)
{
    const int most =
        m_deployment.topic() == Topic::StreamsAfterKills ? MaxTakeUpsAfterKills : MaxTakeUps;
    for (int i = 0; i < most && !m_stopped; ++i) {
        const int last = lastEventOf(broken);
        const bool isBroken = !broken.complete || broken.status == 503;
        if (!isBroken || last == 0)
            co_return;
        co_await wire::sleepFor(milliseconds(1 + m_random.below(LongestTakeUpPauseMs)));
        Attempt next;
        next.id = m_name + "-" + std::to_string(m_attempts.size());
        next.kind = broken.kind;
        next.method = broken.method;
        next.target = broken.target;
        next.resumes = broken.stream();
        next.after = last;
        next.gateway = m_gateway % m_deployment.gateways();
        co_await record(next);
        broken = next;
    }
}

wire::Task<void> Client::run()
{
    while (!m_stopped) {
        if (m_floods && !m_deployment.isFlooded()) {
            co_await wire::sleepFor(FloodPollInterval);
            continue;
        }
        Attempt attempt = nextAttempt();
        co_await record(attempt);
        if (attempt.kind == RequestKind::ResumableStream)
            co_await takeUp(attempt);
        co_await wire::sleepFor(nextPause());
    }
}

milliseconds Client::nextPause()
{
    if (m_deployment.topic() == Topic::SilentServers && m_random.below(100) < LongPausePercent) {
        const auto longest = static_cast<std::uint64_t>(SmallestIdleLimit.count() * 4 / 5);
        return milliseconds(static_cast<std::int64_t>(longest / 2 + m_random.below(longest / 2)));
    }
    return milliseconds(1 + static_cast<std::int64_t>(m_random.exponential(MeanPauseMs)));
}

} // namespace snipestall::soak
