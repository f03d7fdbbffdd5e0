#include "policy/harness/callers.hpp"

#include "policy/harness/cluster.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy::harness {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t TemplatesPerKind = 3;
/// A caller that does not wait for the retry time of its refusal retries after this delay.
constexpr Duration ImmediateRetryDelay = 100ms;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

/// Returns the hash of a prompt block that all requests of one template share.
std::uint64_t templateBlock(const RequestKind &kind, std::size_t customer, std::uint64_t number,
                            std::uint32_t block)
{
    return stableHash(kind.name + "/" + std::to_string(customer) + "/" + std::to_string(number)
                      + "/" + std::to_string(block));
}

} // namespace

Callers::Callers(Cluster &cluster, std::uint64_t seed)
    : m_cluster(cluster)
    , m_random(seed)
{
    m_cluster.setCallEnded([this](CallIndex call) { onEnded(call); });
}

void Callers::setLoad(const Load &load)
{
    m_load = load;
    ++m_epoch;
    scheduleModel(m_epoch);
    schedulePlain(m_epoch);
}

void Callers::scheduleModel(std::uint64_t epoch)
{
    const double rate = modelRate();
    if (rate <= 0) {
        return;
    }
    m_cluster.loop().after(fromSeconds(m_random.exponential(1 / rate)), [this, epoch] {
        if (epoch != m_epoch) {
            return;
        }
        submit(makeRequest(pickKind(), m_cluster.deployment().modelService));
        scheduleModel(epoch);
    });
}

void Callers::schedulePlain(std::uint64_t epoch)
{
    const double rate = plainRate();
    if (rate <= 0) {
        return;
    }
    m_cluster.loop().after(fromSeconds(m_random.exponential(1 / rate)), [this, epoch] {
        if (epoch != m_epoch) {
            return;
        }
        const auto &deployment = m_cluster.deployment();
        submit(makeRequest(deployment.plainKind, deployment.plainService));
        schedulePlain(epoch);
    });
}

/// A level of 1 is the rate that just uses up the decoding slots or the prefill rate of the whole
/// fleet, whichever is scarcer, with every template cached.
double Callers::modelRate() const
{
    const auto &deployment = m_cluster.deployment();
    const auto &model = deployment.modelServer;
    double weight = 0;
    double slotSeconds = 0;
    double prefillTokens = 0;
    for (const auto &kind : kinds()) {
        const double fresh = kind.promptTokens - kind.templateTokens;
        weight += kind.weight;
        prefillTokens += kind.weight * fresh;
        slotSeconds += kind.weight
            * (kind.outputTokens * seconds(model.interToken)
               + fresh / model.prefillTokensPerSecond);
    }
    const double perRequest =
        std::max(slotSeconds / model.slots, prefillTokens / model.prefillTokensPerSecond);
    return m_load.level * deployment.nominalServers * weight / perRequest;
}

double Callers::plainRate() const
{
    const auto &deployment = m_cluster.deployment();
    const auto &model = deployment.plainServer;
    return m_load.plainLevel * deployment.servers(deployment.plainService) * model.slots
        / seconds(model.interToken);
}

const std::vector<RequestKind> &Callers::kinds() const
{
    return m_load.kinds.empty() ? m_cluster.deployment().kinds : m_load.kinds;
}

RequestSpec Callers::makeRequest(const RequestKind &kind, const std::string &service)
{
    const auto &deployment = m_cluster.deployment();
    const auto customer = pickCustomer();
    const auto *leaf = deployment.settings.leaf(deployment.customers[customer].name, service);
    RequestSpec spec;
    spec.kind = kind.name;
    spec.customer = deployment.customers[customer].name;
    spec.service = service;
    spec.plain = service == deployment.plainService;
    spec.fingerprint = Random(++m_lastRequest).next();
    spec.urgency = kind.urgency;
    spec.promptTokens = kind.promptTokens;
    spec.outputTokens = kind.outputTokens;
    spec.idempotent = kind.idempotent;
    spec.timeAllowed = kind.deadline;
    spec.firstTokenTarget = leaf->firstTokenTarget;
    spec.interTokenTarget = leaf->interTokenTarget;
    spec.triesLeft = m_load.tries - 1;
    spec.ignoresRetryAfter = m_random.uniform() < m_load.ignoreRetryAfter;
    spec.patience = m_load.patience;
    addPrefix(spec, kind, customer);
    return spec;
}

void Callers::addPrefix(RequestSpec &spec, const RequestKind &kind, std::size_t customer)
{
    const bool hot = m_random.uniform() < m_load.hotPrefix;
    const auto owner = hot ? 0 : customer;
    const auto number = hot ? 0 : m_random.below(TemplatesPerKind);
    const auto shared = kind.templateTokens / BlockTokens;
    const auto blocks = kind.promptTokens / BlockTokens;
    for (std::uint32_t block = 0; block < blocks; ++block) {
        spec.prefix.push_back(block < shared ? templateBlock(kind, owner, number, block)
                                             : m_random.next());
    }
}

std::size_t Callers::pickCustomer()
{
    const auto &customers = m_cluster.deployment().customers;
    double fixed = 0;
    double open = 0;
    for (const auto &customer : customers) {
        const auto found = m_load.customerShare.find(customer.name);
        const bool isFixed = found != m_load.customerShare.end();
        fixed += isFixed ? found->second : 0;
        open += isFixed ? 0 : customer.demand;
    }
    double left = m_random.uniform();
    for (std::size_t i = 0; i < customers.size(); ++i) {
        const auto found = m_load.customerShare.find(customers[i].name);
        left -= found != m_load.customerShare.end() ? found->second
                                                    : (1 - fixed) * customers[i].demand / open;
        if (left < 0) {
            return i;
        }
    }
    return customers.size() - 1;
}

const RequestKind &Callers::pickKind()
{
    double total = 0;
    for (const auto &kind : kinds()) {
        total += kind.weight;
    }
    double left = m_random.uniform() * total;
    for (const auto &kind : kinds()) {
        left -= kind.weight;
        if (left < 0) {
            return kind;
        }
    }
    return kinds().back();
}

void Callers::submit(RequestSpec spec)
{
    auto &calls = m_cluster.ledger().calls;
    const CallIndex index = calls.size();
    const auto patience = spec.patience;
    Call call;
    static_cast<RequestSpec &>(call) = std::move(spec);
    call.arrived = m_cluster.loop().now();
    call.deadline = call.arrived + call.timeAllowed;
    calls.push_back(std::move(call));
    m_cluster.submit(index);
    if (patience) {
        m_cluster.loop().after(*patience, [this, index] { giveUp(index); });
    }
}

void Callers::giveUp(CallIndex index)
{
    const auto &call = m_cluster.ledger().calls[index];
    if (call.outcome == Outcome::Open && !call.firstToken) {
        m_cluster.cancel(index);
    }
}

void Callers::onEnded(CallIndex index)
{
    const auto &call = m_cluster.ledger().calls[index];
    const bool mayNotRepeat = call.outcome == Outcome::Failed && !call.idempotent;
    if (call.outcome == Outcome::Answered || call.triesLeft == 0 || mayNotRepeat) {
        return;
    }
    const bool waits = call.outcome == Outcome::Refused && !call.ignoresRetryAfter;
    m_cluster.loop().after(waits ? call.retryAfter : ImmediateRetryDelay,
                           [this, index] { submitAgain(index); });
}

void Callers::submitAgain(CallIndex index)
{
    RequestSpec again = m_cluster.ledger().calls[index];
    --again.triesLeft;
    submit(std::move(again));
}

void Callers::submitCrasher(std::uint32_t tries)
{
    // Uses the second kind because only its prompts have blocks of their own, by which the request
    // can be recognised.
    auto spec = makeRequest(kinds().at(1), m_cluster.deployment().modelService);
    spec.crashesServer = true;
    spec.triesLeft = tries - 1;
    submit(std::move(spec));
}

} // namespace snipestall::policy::harness
