// Measures overload and uneven load over the whole path on loopback (docs/hard-load.md,
// requirement 9): six gateways in front of six engines that queue by priority. Each load is played
// once with a fixed seed, and its figures are printed; each test checks one bound.

#include "gateway_fixture.hpp"
#include "queueing_engine.hpp"

#include "snipestall/base/log.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/wire/http_stream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using wire::Task;
using Time = steady_clock::time_point;
using Seconds = std::chrono::duration<double>;

constexpr auto Config = R"({"version":3,"routes":[
 {"name":"urgent","host":"a.example","prefix":"/urgent/","routeType":"streaming","timeoutMs":8000,
  "targetLatencyMs":500,"targetGapMs":1000,"service":"model","maxAttempts":3,"streamResume":true,
  "priority":0},
 {"name":"patient","host":"a.example","prefix":"/patient/","routeType":"streaming",
  "timeoutMs":8000,"targetLatencyMs":2000,"targetGapMs":1000,"service":"model","maxAttempts":3,
  "streamResume":true,"priority":2}],
 "services":[{"name":"model","engine":{"slotCount":6,"kvCapacity":200000}}],
 "tenants":[{"name":"c0","apiKeys":["key-0"]},{"name":"c1","apiKeys":["key-1"]},
  {"name":"c2","apiKeys":["key-2"]},{"name":"c3","apiKeys":["key-3"]}]})";

constexpr std::array Slowness { 0.7, 0.7, 1.7, 0.7, 0.7, 1.7 };
/// The engines that are killed: a fast one and a slow one.
constexpr std::array Killed { 0, 5 };
constexpr int Customers = 4;
constexpr double UrgentPart = 0.4;
/// Parts of the capacity that callers ask for.
constexpr double CalmLoad = 0.55;
constexpr double OverLoad = 1.8;
/// How many times its usual a customer sends in a flood.
constexpr double FloodFactor = 6;
constexpr std::uint64_t Seed = 9;

/// Time in which gateways measure how fast engines read.
constexpr milliseconds WarmUp { 3000 };
/// Time until the queues have the length that they keep.
constexpr milliseconds Ramp { 1000 };
/// Quarter of the time for which the worth is counted.
constexpr milliseconds Quarter { 1250 };
/// Time after a load until all is normal again.
constexpr milliseconds Recovery { 2000 };
constexpr milliseconds AfterRecovery { 2000 };
/// A refusal comes within this part of the target.
constexpr int RefusalFraction = 8;

constexpr double MinUrgentInTarget = 0.9;
constexpr double MinWorth = 0.85;
constexpr double MinOthersInTarget = 0.95;
constexpr double MinNormalInTarget = 0.95;

enum class Load { Calm, Overload, Flood, LostEngines };
constexpr std::array AllLoads { Load::Calm, Load::Overload, Load::Flood, Load::LostEngines };
/// Short prompts take as long as long ones, but none is long enough to measure a read rate.
enum class Prompts { Long, Short };
constexpr double ShortPromptTokens = 400;
enum class Phase { WarmUp, Loaded, Recovery, Normal };

const char *nameOf(Load load)
{
    constexpr std::array Names { "calm", "overload", "flood", "lost engines" };
    return Names.at(static_cast<std::size_t>(load));
}

struct Count
{
    int sent = 0;
    int inTarget = 0;
    void add(bool wasInTarget)
    {
        ++sent;
        inTarget += wasInTarget ? 1 : 0;
    }
    [[nodiscard]] double part() const { return sent == 0 ? 0 : 1.0 * inTarget / sent; }
};

/// What was seen while a load was played. A request is in its target if its first event arrived
/// within the target after the first send, and its stream ended whole.
struct Figures
{
    Count urgent;
    Count patient;
    Count loudest;
    Count others;
    /// Requests that were sent after the recovery.
    Count normal;
    /// Requests in target that ended within the counted time, each worth 1, and how many the
    /// capacity could carry in it.
    double served = 0;
    double carried = 0;
    int refused = 0;
    int refusedLate = 0;
    int refusedAndRan = 0;
    milliseconds slowestRefusal { 0 };
    /// Longest time by which a timer of the loop was late. On a busy machine it delays refusals,
    /// too.
    milliseconds longestStall { 0 };
    /// Requests that were neither answered whole nor refused.
    int failed = 0;
    int engineRejections = 0;

    [[nodiscard]] double worth() const { return carried <= 0 ? 0 : served / carried; }
};

void print(Load load, const Figures &figures)
{
    const auto millis = [](milliseconds time) { return static_cast<int>(time.count()); };
    std::printf("%s: in target urgent %.3f of %d, patient %.3f of %d, loudest %.3f of %d, others "
                "%.3f of %d, after recovery %.3f of %d; worth %.3f (%.0f of %.0f); refused %d, "
                "late %d (slowest %d ms, longest stall of the loop %d ms), refused and run %d; "
                "failed %d; rejected by engines %d\n",
                nameOf(load), figures.urgent.part(), figures.urgent.sent, figures.patient.part(),
                figures.patient.sent, figures.loudest.part(), figures.loudest.sent,
                figures.others.part(), figures.others.sent, figures.normal.part(),
                figures.normal.sent, figures.worth(), figures.served, figures.carried,
                figures.refused, figures.refusedLate, millis(figures.slowestRefusal),
                millis(figures.longestStall), figures.refusedAndRan, figures.failed,
                figures.engineRejections);
}

/// Gateways and engines that play one load. A second load needs others, since the first one leaves
/// engines that have ended, queues and learned rates behind.
class LoadRun : public GatewayPathTest
{
public:
    LoadRun(Load load, Prompts prompts)
        : m_meanPrompt(prompts == Prompts::Short ? ShortPromptTokens
                                                 : QueueingEngine::MeanPromptTokens)
    {
        startAll();
        run([this, load]() -> Task<void> { co_await play(load); });
        std::printf("%s prompts, ", prompts == Prompts::Short ? "short" : "long");
        print(load, m_figures);
    }

    [[nodiscard]] const Figures &figures() const { return m_figures; }

private:
    void TestBody() override { }

    struct Request
    {
        int customer = 0;
        bool urgent = false;
        std::uint32_t tokens = 0;
        [[nodiscard]] milliseconds target() const { return urgent ? 500ms : 2000ms; }
    };

    struct Outcome
    {
        std::optional<Time> firstEvent;
        bool whole = false;
        std::optional<Seconds> retryAfter;
    };

    void startAll()
    {
        m_store.put({ "op", "", "config" }, Config);
        for (std::size_t i = 0; i < Slowness.size(); ++i) {
            const std::string id = "e-" + std::to_string(i);
            m_engines.push_back(std::make_unique<QueueingEngine>(m_io, id, Slowness.at(i)));
            m_engines.back()->setMeanPrompt(m_meanPrompt);
            m_store.put({ "servers", "", id }, m_engines.back()->entry());
        }
        for (const char *name : { "edge-2", "edge-3", "edge-4", "edge-5", "edge-6" })
            m_others.push_back(startInstance(settingsOf(name)));
        m_entries.push_back(m_callers);
        for (const Instance &instance : m_others)
            m_entries.push_back(instance.callers);
    }

    [[nodiscard]] double capacity() const
    {
        return std::accumulate(
            m_engines.begin(), m_engines.end(), 0.0,
            [](double sum, const auto &engine) { return sum + engine->capacity(); });
    }

    Task<void> play(Load load)
    {
        co_await untilServing(m_metrics, m_engines.size());
        for (const Instance &instance : m_others)
            co_await untilServing(instance.metrics, m_engines.size());
        boost::asio::co_spawn(m_io, watchLoop(), boost::asio::detached);
        // Requests per second by customer.
        const double full = capacity();
        const std::vector<double> calm(Customers, CalmLoad * full / Customers);
        std::vector<double> rates = calm;
        if (load == Load::Flood)
            rates.front() *= FloodFactor;
        else if (load != Load::Calm)
            rates.assign(Customers, OverLoad * full / Customers);
        co_await generate(calm, Phase::WarmUp, WarmUp);
        co_await generate(rates, Phase::Loaded, Ramp);
        co_await playCounted(load, rates);
        if (load != Load::Calm) {
            co_await generate(calm, Phase::Recovery, Recovery);
            co_await generate(calm, Phase::Normal, AfterRecovery);
        }
        while (m_open > 0)
            co_await wire::sleepFor(10ms);
        m_figures.refusedAndRan = static_cast<int>(
            std::count_if(m_refused.begin(), m_refused.end(), [this](const std::string &attempt) {
                return std::any_of(m_engines.begin(), m_engines.end(),
                                   [&](const auto &engine) { return engine->hasRun(attempt); });
            }));
        for (const auto &engine : m_engines)
            m_figures.engineRejections += engine->rejections();
    }

    Task<void> playCounted(Load load, std::vector<double> rates)
    {
        m_counting = true;
        for (int quarter = 0; quarter < 4; ++quarter) {
            if (load == Load::LostEngines && quarter == 2) {
                for (const int killed : Killed)
                    m_engines.at(killed)->end();
            }
            // Entries expire when they have not been renewed for an interval.
            if (load == Load::LostEngines && quarter == 3) {
                for (const int killed : Killed)
                    m_store.remove({ "servers", "", m_engines.at(killed)->id() });
            }
            const double most = capacity() * Seconds(Quarter).count();
            const int before = m_generated;
            co_await generate(rates, Phase::Loaded, Quarter);
            m_figures.carried += std::min<double>(m_generated - before, most);
        }
        m_counting = false;
    }

    /// Sends requests at random times, whether or not earlier ones have been answered.
    Task<void> generate(std::vector<double> rates, Phase phase, milliseconds duration)
    {
        const double rate = std::accumulate(rates.begin(), rates.end(), 0.0);
        Time next = steady_clock::now();
        const Time end = next + duration;
        while (true) {
            const Seconds gap(m_random.exponential(1 / rate));
            next += std::chrono::duration_cast<steady_clock::duration>(gap);
            co_await wire::sleepFor(std::min(next, end) - steady_clock::now());
            if (next >= end)
                co_return;
            ++m_generated;
            Request request;
            double at = m_random.uniform() * rate;
            while (request.customer + 1 < Customers && (at -= rates.at(request.customer)) >= 0)
                ++request.customer;
            request.urgent = m_random.uniform() < UrgentPart;
            // Gateways measure how fast engines read by prompts of at least 3000 tokens.
            const double length = m_meanPrompt * (0.75 + 0.5 * m_random.uniform());
            request.tokens = static_cast<std::uint32_t>(length);
            boost::asio::co_spawn(m_io, call(request, phase), boost::asio::detached);
        }
    }

    Task<void> watchLoop()
    {
        while (true) {
            const Time due = steady_clock::now() + 5ms;
            co_await wire::sleepFor(5ms);
            m_figures.longestStall =
                std::max(m_figures.longestStall,
                         std::chrono::duration_cast<milliseconds>(steady_clock::now() - due));
        }
    }

    /// A caller, which comes back once if a refusal says when.
    Task<void> call(Request request, Phase phase)
    {
        ++m_open;
        const Time begun = steady_clock::now();
        Outcome outcome = co_await send(request);
        if (outcome.retryAfter) {
            co_await wire::sleepFor(
                std::chrono::duration_cast<steady_clock::duration>(*outcome.retryAfter));
            outcome = co_await send(request);
        }
        const bool inTarget =
            outcome.whole && outcome.firstEvent && *outcome.firstEvent - begun <= request.target();
        if (m_counting && inTarget)
            ++m_figures.served;
        if (phase == Phase::Loaded) {
            (request.urgent ? m_figures.urgent : m_figures.patient).add(inTarget);
            (request.customer == 0 ? m_figures.loudest : m_figures.others).add(inTarget);
        } else if (phase == Phase::Normal) {
            m_figures.normal.add(inTarget);
        }
        --m_open;
    }

    Task<Outcome> send(Request request)
    {
        const std::string number = std::to_string(++m_attempts);
        const std::string tokens = std::to_string(request.tokens);
        wire::HttpRequest message;
        message.method = "POST";
        message.target = request.urgent ? "/urgent/x" : "/patient/x";
        message.body = "prompt " + number;
        message.fields.set("Host", "a.example");
        message.fields.set("X-Attempt-Id", "attempt-" + number);
        message.fields.set("X-Deadline-Ms", "8000");
        message.fields.set("Authorization", "Bearer key-" + std::to_string(request.customer));
        message.fields.set("X-Model-Name", "m");
        message.fields.set("X-Token-Count", tokens + "," + std::to_string(QueueingEngine::Events));
        message.fields.set("X-Prompt-Prefix", "f" + number + ":" + tokens);
        const auto &entry = m_entries.at(m_entryRandom.below(m_entries.size()));
        const Time sent = steady_clock::now();
        auto stream = co_await m_client.open(entry, std::move(message));
        Outcome outcome;
        if (!stream) {
            ++m_figures.failed;
            co_return outcome;
        }
        const wire::HttpResponse &head = (*stream)->head();
        const auto retryAfter = head.fields.find("Retry-After");
        if (head.status == 503 && retryAfter) {
            outcome.retryAfter = Seconds(std::stod(*retryAfter));
            recordRefusal("attempt-" + number, steady_clock::now() - sent, request.target());
        }
        const bool served = head.status == 200;
        while (true) {
            const auto piece = co_await (*stream)->read();
            outcome.whole = served && piece && !*piece;
            if (!piece || !*piece)
                break;
            if (served && !outcome.firstEvent)
                outcome.firstEvent = steady_clock::now();
        }
        m_figures.failed += outcome.whole || outcome.retryAfter ? 0 : 1;
        co_return outcome;
    }

    void recordRefusal(std::string attempt, steady_clock::duration took, milliseconds target)
    {
        m_refused.push_back(std::move(attempt));
        ++m_figures.refused;
        m_figures.refusedLate += took > target / RefusalFraction ? 1 : 0;
        m_figures.slowestRefusal =
            std::max(m_figures.slowestRefusal, std::chrono::duration_cast<milliseconds>(took));
    }

    Random m_random { Seed };
    /// Separate, so that how long answers take does not change which requests are sent.
    Random m_entryRandom { Seed + 1 };
    std::vector<std::unique_ptr<QueueingEngine>> m_engines;
    std::vector<Instance> m_others;
    std::vector<wire::Endpoint> m_entries;
    std::vector<std::string> m_refused;
    Figures m_figures;
    double m_meanPrompt;
    int m_generated = 0;
    int m_open = 0;
    /// Whether requests that end now count for the worth.
    bool m_counting = false;
};

class HardLoadTest : public testing::Test
{
protected:
    static void SetUpTestSuite() { initLog(LogFormat::Text, Severity::Error); }

    /// Plays the load if no test has done so.
    static const Figures &figuresOf(Load load, Prompts prompts = Prompts::Long)
    {
        static std::map<std::pair<Load, Prompts>, Figures> played;
        const std::pair key { load, prompts };
        const auto found = played.find(key);
        if (found != played.end())
            return found->second;
        return played.emplace(key, LoadRun(load, prompts).figures()).first->second;
    }
};

// Guards against refusals and lost targets that only the rules for overload cause.
TEST_F(HardLoadTest, CalmLoadIsServedInTargetWithoutRefusals)
{
    const Figures &figures = figuresOf(Load::Calm);
    EXPECT_GE(figures.urgent.part(), MinNormalInTarget);
    EXPECT_GE(figures.patient.part(), MinNormalInTarget);
    EXPECT_EQ(figures.refused, 0);
}

// Guards against urgent requests that wait behind patient ones or at engines that are full.
TEST_F(HardLoadTest, UrgentRequestsMeetTheirTargetInOverload)
{
    EXPECT_GE(figuresOf(Load::Overload).urgent.part(), MinUrgentInTarget);
}

// Guards against capacity that is spent on requests that are late.
TEST_F(HardLoadTest, CapacityIsSpentOnRequestsInTargetInOverload)
{
    EXPECT_GE(figuresOf(Load::Overload).worth(), MinWorth);
}

// Guards against a flood from one customer that makes the requests of the others late.
TEST_F(HardLoadTest, OtherCustomersMeetTheirTargetInAFlood)
{
    EXPECT_GE(figuresOf(Load::Flood).others.part(), MinOthersInTarget);
}

// The same three for short prompts. Guards against rules that are off while their estimate is not
// known: no prompt is long enough to measure how fast engines read.
TEST_F(HardLoadTest, UrgentShortPromptsMeetTheirTargetInOverload)
{
    EXPECT_GE(figuresOf(Load::Overload, Prompts::Short).urgent.part(), MinUrgentInTarget);
}

TEST_F(HardLoadTest, CapacityIsSpentOnShortPromptsInTargetInOverload)
{
    EXPECT_GE(figuresOf(Load::Overload, Prompts::Short).worth(), MinWorth);
}

TEST_F(HardLoadTest, OtherCustomersWithShortPromptsMeetTheirTargetInAFlood)
{
    EXPECT_GE(figuresOf(Load::Flood, Prompts::Short).others.part(), MinOthersInTarget);
}

// Guards against calm seconds with short prompts that the rules for overload spoil.
TEST_F(HardLoadTest, CalmLoadOfShortPromptsIsServedInTargetWithoutRefusals)
{
    const Figures &figures = figuresOf(Load::Calm, Prompts::Short);
    EXPECT_GE(figures.urgent.part(), MinNormalInTarget);
    EXPECT_GE(figures.patient.part(), MinNormalInTarget);
    EXPECT_EQ(figures.refused, 0);
}

// Guards against refusals that callers can't rely on: a caller that repeats a request which has run
// gets its work done twice.
TEST_F(HardLoadTest, NoRefusedRequestHasRun)
{
    for (const Load load : AllLoads)
        EXPECT_EQ(figuresOf(load).refusedAndRan, 0) << nameOf(load);
}

// Guards against refusals that come when the caller has no time left to go elsewhere.
TEST_F(HardLoadTest, RefusalsComeWithinAnEighthOfTheTarget)
{
    for (const Load load : AllLoads)
        EXPECT_EQ(figuresOf(load).refusedLate, 0) << nameOf(load);
}

// Guards against queues, callers that return, and estimates that outlast the load.
TEST_F(HardLoadTest, AllIsNormalTwoSecondsAfterOverload)
{
    EXPECT_GE(figuresOf(Load::Overload).normal.part(), MinNormalInTarget);
}

TEST_F(HardLoadTest, AllIsNormalTwoSecondsAfterAFlood)
{
    EXPECT_GE(figuresOf(Load::Flood).normal.part(), MinNormalInTarget);
}

TEST_F(HardLoadTest, AllIsNormalTwoSecondsAfterLostEngines)
{
    EXPECT_GE(figuresOf(Load::LostEngines).normal.part(), MinNormalInTarget);
}

} // namespace
} // namespace snipestall::gateway
