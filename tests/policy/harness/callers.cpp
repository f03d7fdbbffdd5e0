#include "policy/harness/callers.hpp"

#include "policy/harness/cluster.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy::harness {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t TemplatesPerKind = 3;
/// A caller that ignores the time it was told comes back after this.
constexpr Duration HastyReturn = 100ms;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

/// Block of a prompt that all requests of one template share.
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
        submit(makeAsk(pickKind(), m_cluster.deployment().modelService));
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
        submit(makeAsk(deployment.plainKind, deployment.plainService));
        schedulePlain(epoch);
    });
}

/// The whole fleet's rate is that at which decoding slots or prefill, whichever is scarcer, are
/// just used up with every template cached.
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

Ask Callers::makeAsk(const RequestKind &kind, const std::string &service)
{
    const auto &deployment = m_cluster.deployment();
    const auto customer = pickCustomer();
    const auto *leaf = deployment.settings.leaf(deployment.customers[customer].name, service);
    Ask ask;
    ask.kind = kind.name;
    ask.customer = deployment.customers[customer].name;
    ask.service = service;
    ask.plain = service == deployment.plainService;
    ask.fingerprint = Random(++m_lastAsk).next();
    ask.urgency = kind.urgency;
    ask.promptTokens = kind.promptTokens;
    ask.outputTokens = kind.outputTokens;
    ask.idempotent = kind.idempotent;
    ask.timeAllowed = kind.deadline;
    ask.firstTokenTarget = leaf->firstTokenTarget;
    ask.interTokenTarget = leaf->interTokenTarget;
    ask.triesLeft = m_load.tries - 1;
    ask.ignoresRetryAfter = m_random.uniform() < m_load.ignoreRetryAfter;
    ask.patience = m_load.patience;
    addPrefix(ask, kind, customer);
    return ask;
}

void Callers::addPrefix(Ask &ask, const RequestKind &kind, std::size_t customer)
{
    const bool hot = m_random.uniform() < m_load.hotPrefix;
    const auto owner = hot ? 0 : customer;
    const auto number = hot ? 0 : m_random.below(TemplatesPerKind);
    const auto shared = kind.templateTokens / BlockTokens;
    const auto blocks = kind.promptTokens / BlockTokens;
    for (std::uint32_t block = 0; block < blocks; ++block) {
        ask.prefix.push_back(block < shared ? templateBlock(kind, owner, number, block)
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

void Callers::submit(Ask ask)
{
    auto &calls = m_cluster.ledger().calls;
    const CallIndex index = calls.size();
    const auto patience = ask.patience;
    Call call;
    static_cast<Ask &>(call) = std::move(ask);
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
    m_cluster.loop().after(waits ? call.retryAfter : HastyReturn,
                           [this, index] { submitAgain(index); });
}

void Callers::submitAgain(CallIndex index)
{
    Ask again = m_cluster.ledger().calls[index];
    --again.triesLeft;
    submit(std::move(again));
}

void Callers::submitCrasher(std::uint32_t tries)
{
    // Of the second kind, since only its prompts have blocks of their own to tell it by.
    auto ask = makeAsk(kinds().at(1), m_cluster.deployment().modelService);
    ask.crashesServer = true;
    ask.triesLeft = tries - 1;
    submit(std::move(ask));
}

} // namespace snipestall::policy::harness
