#include "policy/harness/deployment.hpp"

namespace snipestall::policy::harness {

namespace {

using namespace std::chrono_literals;
using settings::ClassSettings;
using settings::LeafSettings;
using settings::ServiceKind;
using settings::ServiceSettings;

/// The limits are never reached, because the experiment measures placement and order; limits have a
/// scenario of their own.
constexpr double NoRequestLimit = 1e6;
constexpr double NoTokenLimit = 1e9;
constexpr std::uint32_t NoConcurrencyLimit = 1000000;
/// Long enough for the lookups of both deployments, and too short for every other kind of request.
constexpr std::uint32_t ShortTokens = 768;

const ClassSettings SpotSmall { "", "spot-small", true, 0.7, 0.6 };
const ClassSettings SpotLarge { "", "spot-large", true, 1.0, 0.2 };
const ClassSettings OnDemand { "", "on-demand", false, 3.0, 0.0 };

ServerModel plainServer()
{
    return ServerModel { .slots = 4,
                         .maxBatch = 4,
                         .queueLimit = 12,
                         .interToken = 20ms,
                         .prefillTokensPerSecond = 1e6,
                         .cacheBlocks = 0 };
}

void addGroups(Deployment &deployment, const std::vector<std::uint32_t> &spotSmall,
               const std::vector<std::uint32_t> &spotLarge)
{
    for (std::size_t i = 0; i < deployment.dataCentres.size(); ++i) {
        const auto &dataCentre = deployment.dataCentres[i];
        deployment.groups.push_back(
            { deployment.modelService, dataCentre, SpotSmall.name, spotSmall[i] });
        deployment.groups.push_back(
            { deployment.modelService, dataCentre, SpotLarge.name, spotLarge[i] });
        deployment.groups.push_back({ deployment.plainService, dataCentre, OnDemand.name, 1 });
    }
    deployment.nominalServers = deployment.servers(deployment.modelService);
}

void addClasses(Deployment &deployment)
{
    for (const auto &dataCentre : deployment.dataCentres) {
        for (auto entry : { SpotSmall, SpotLarge, OnDemand }) {
            entry.dataCentre = dataCentre;
            deployment.settings.classes.push_back(entry);
        }
    }
}

void addServices(Deployment &deployment)
{
    ServiceSettings model;
    model.service = deployment.modelService;
    model.models = { deployment.modelService };
    model.slotsPerServer = deployment.modelServer.slots;
    model.shortTokens = ShortTokens;
    ServiceSettings plain;
    plain.service = deployment.plainService;
    plain.kind = ServiceKind::Plain;
    plain.idempotent = false;
    plain.slotsPerServer = deployment.plainServer.slots;
    deployment.settings.services = { model, plain };
}

void addLeaves(Deployment &deployment, std::chrono::milliseconds firstTokenTarget,
               double costPreference)
{
    for (const auto &customer : deployment.customers) {
        for (const auto &service : { deployment.modelService, deployment.plainService }) {
            LeafSettings leaf { .customer = customer.name, .service = service };
            leaf.firstTokenTarget = firstTokenTarget;
            leaf.weight = customer.weight;
            leaf.requestsPerSecond = NoRequestLimit;
            leaf.tokensPerSecond = NoTokenLimit;
            leaf.concurrency = NoConcurrencyLimit;
            leaf.costPreference = costPreference;
            deployment.settings.leaves.push_back(leaf);
        }
    }
}

Deployment karadeniz()
{
    Deployment made;
    made.name = "karadeniz";
    made.dataCentres = { "samsun-hall", "trabzon-hall", "sinop-hall", "ordu-hall" };
    made.insideDelay = 200us;
    made.betweenDelay = 500us;
    made.modelService = "voyage-drafts";
    made.plainService = "airtime-ledger";
    made.plainServer = plainServer();
    made.customers = { { "kiyi", 3, 0.40 },
                       { "poyraz", 2, 0.25 },
                       { "lodos", 1, 0.15 },
                       { "yakamoz", 1, 0.12 },
                       { "dalga", 1, 0.08 } };
    made.kinds = { { "billing-query", Urgency::Urgent, 512, 640, 48, 10s, true, 0.6 },
                   { "settlement", Urgency::Normal, 1024, 1536, 200, 30s, true, 0.3 },
                   { "log-summary", Urgency::Patient, 512, 6144, 500, 120s, true, 0.1 } };
    made.plainKind = { "top-up", Urgency::Urgent, 0, 0, 1, 5s, false, 1 };
    addGroups(made, { 3, 3, 2, 2 }, { 2, 2, 2, 2 });
    addClasses(made);
    addServices(made);
    addLeaves(made, 1200ms, 0.2);
    return made;
}

Deployment midlands()
{
    Deployment made;
    made.name = "midlands";
    made.dataCentres = { "derby-hall", "leicester-hall", "nottingham-hall", "coventry-hall" };
    made.insideDelay = 300us;
    made.betweenDelay = 1500us;
    made.modelService = "style-review";
    made.plainService = "guide-portal";
    made.plainServer = plainServer();
    made.customers = { { "pellowe", 3, 0.35 },
                       { "strand", 2, 0.30 },
                       { "gazette", 1, 0.15 },
                       { "courier", 1, 0.12 },
                       { "herald", 1, 0.08 } };
    made.kinds = { { "lookup", Urgency::Urgent, 256, 320, 32, 10s, true, 0.65 },
                   { "headline-check", Urgency::Normal, 512, 1024, 120, 30s, true, 0.25 },
                   { "full-review", Urgency::Patient, 1024, 8192, 700, 120s, true, 0.1 } };
    made.plainKind = { "ruling", Urgency::Urgent, 0, 0, 1, 5s, false, 1 };
    addGroups(made, { 2, 2, 1, 2 }, { 1, 1, 2, 1 });
    addClasses(made);
    addServices(made);
    addLeaves(made, 1200ms, 0.8);
    return made;
}

} // namespace

const ServerModel &Deployment::model(std::string_view service) const
{
    return service == plainService ? plainServer : modelServer;
}

std::uint32_t Deployment::servers(std::string_view service) const
{
    std::uint32_t count = 0;
    for (const auto &group : groups) {
        count += group.service == service ? group.count : 0;
    }
    return count;
}

Result<Deployment> makeDeployment(std::string_view name)
{
    if (name == "karadeniz") {
        return karadeniz();
    }
    if (name == "midlands") {
        return midlands();
    }
    return fail(ErrorKind::NotFound,
                "no deployment '" + std::string(name) + "'; use karadeniz or midlands");
}

} // namespace snipestall::policy::harness
