#include "harness/http_call.hpp"
#include "harness/ledger_files.hpp"
#include "harness/settings_text.hpp"
#include "harness/topology.hpp"
#include "harness/wait_until.hpp"

#include "snipestall/admin/messages.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <set>
#include <sstream>
#include <stdexcept>

namespace snipestall::harness {

namespace {

constexpr std::size_t LogTail = 4000;

using Servers = std::vector<admin::BackendServerStatus>;

wire::HttpRequest keyedRequest(const std::string &method, const std::string &target,
                               const std::string &key, std::string body)
{
    wire::HttpRequest request { method, target, {}, std::move(body) };
    request.fields.set("Authorization", "Bearer " + key);
    return request;
}

wire::HttpRequest probe(const std::string &target, const std::string &key, std::string body)
{
    wire::HttpRequest request = keyedRequest("POST", target, key, std::move(body));
    request.fields.set("Snipestall-Idempotent", "yes");
    return request;
}

wire::HttpRequest modelProbe(const std::string &model, const std::string &key)
{
    return probe("/v1/completions", key,
                 R"({"model":")" + model + R"(","prompt":"probe","max_tokens":1})");
}

wire::HttpRequest serviceProbe(const std::string &service, const std::string &key)
{
    return probe("/services/" + service + "/probe", key, "{}");
}

std::string nextChangeId()
{
    static int number = 0;
    ++number;
    return "test-change-" + std::to_string(number);
}

/// Returns the version that an accepted change resulted in; throws if it was not accepted.
std::uint64_t acceptedVersion(const Result<wire::HttpResponse> &response)
{
    if (!response)
        throw std::runtime_error("the change was not answered: " + response.error().message);
    const auto message = admin::decodeAccepted(response->body);
    if (response->status >= 300 || !message)
        throw std::runtime_error("the change was refused: " + response->body);
    return message->version;
}

} // namespace

void Topology::applySettings()
{
    peer::SettingsChange change;
    change.id = nextChangeId();
    change.reason = "test begins";
    change.yaml = m_spec.settings;
    const auto request =
        keyedRequest("POST", "/settings/changes", BootstrapKey, admin::encodeChange(change));
    const std::string first = m_spec.entries.front().name;
    const std::uint64_t version = acceptedVersion(httpCall(operators(first), request));
    for (const auto &entry : m_spec.entries) {
        if (!waitUntil([&] { return ready(entry.name, version); }))
            throw std::runtime_error(entry.name + " does not serve with version "
                                     + std::to_string(version) + "\n" + logs());
    }
    waitForServers();
    waitForService();
}

bool Topology::ready(const std::string &entry, std::uint64_t version) const
{
    const auto now = status(entry);
    if (!now || now->settingsVersion < version)
        return false;
    const auto peersUp = static_cast<std::size_t>(std::count_if(
        now->peers.begin(), now->peers.end(), [](const auto &peer) { return peer.state == "up"; }));
    return peersUp + 1 >= m_spec.entries.size();
}

bool Topology::serves(const std::string &entry) const
{
    std::set<std::string> models;
    std::set<std::string> services;
    for (const auto &server : m_spec.servers) {
        if (server.models.empty())
            services.insert(server.service);
        models.insert(server.models.begin(), server.models.end());
    }
    const auto answered = [this, &entry](const wire::HttpRequest &request) {
        const auto response = httpCall(callers(entry), request);
        return response && response->status == 200;
    };
    return std::all_of(
               models.begin(), models.end(),
               [&](const auto &model) { return answered(modelProbe(model, m_spec.customerKey)); })
        && std::all_of(services.begin(), services.end(), [&](const auto &service) {
               return answered(serviceProbe(service, m_spec.customerKey));
           });
}

void Topology::waitForService()
{
    for (const auto &entry : m_spec.entries)
        waitForService(entry.name);
}

void Topology::waitForService(const std::string &entry)
{
    if (!waitUntil([&] { return serves(entry); }))
        throw std::runtime_error(entry + " does not serve\n" + logs());
}

void Topology::waitForServers()
{
    const auto owned = [this] {
        std::set<std::string> up;
        for (const auto &entry : m_spec.entries) {
            const auto now = status(entry.name);
            for (const auto &server : now ? now->backendServers : Servers()) {
                if (server.state == "up")
                    up.insert(server.name);
            }
        }
        return std::all_of(m_spec.servers.begin(), m_spec.servers.end(),
                           [&up](const auto &server) { return up.contains(server.name); });
    };
    if (!waitUntil(owned))
        throw std::runtime_error("not every backend server is up\n" + logs());
}

std::uint64_t Topology::changeSettings(const std::string &entry, const std::string &path,
                                       const std::string &value)
{
    const auto now = status(entry);
    if (!now)
        throw std::runtime_error(entry + " does not report its status");
    peer::SettingsChange change;
    change.id = nextChangeId();
    change.baseVersion = now->settingsVersion;
    change.reason = "test";
    change.edits.push_back({ path, value });
    const auto request =
        keyedRequest("POST", "/settings/changes", m_spec.operatorKey, admin::encodeChange(change));
    return acceptedVersion(httpCall(operators(entry), request));
}

std::optional<admin::InstanceStatus> Topology::status(const std::string &entry) const
{
    const auto request = keyedRequest("GET", "/status", m_spec.operatorKey, {});
    const auto response = httpCall(operators(entry), request);
    if (!response || response->status != 200)
        return std::nullopt;
    auto message = admin::decodeStatus(response->body);
    if (!message)
        throw std::runtime_error("the status is invalid: " + message.error().message);
    return std::move(*message);
}

std::vector<ProxyControl> Topology::links(const std::string &one, const std::string &other) const
{
    std::vector<ProxyControl> proxies;
    for (const auto &entry : m_spec.entries) {
        if (entry.dataCentre == one)
            proxies.push_back(proxy("link/" + other + "/" + entry.name));
        if (entry.dataCentre == other)
            proxies.push_back(proxy("link/" + one + "/" + entry.name));
    }
    return proxies;
}

void Topology::cutDataCentres(const std::string &one, const std::string &other) const
{
    for (const auto &link : links(one, other))
        link.drop();
}

void Topology::reconnectDataCentres(const std::string &one, const std::string &other) const
{
    for (const auto &link : links(one, other))
        link.heal();
}

void Topology::setPlatformFaults(const std::string &faults) const
{
    const auto response = httpPost(platform(), "/control/faults", faults);
    if (!response || response->status != 204)
        throw std::runtime_error("the platform refused " + faults);
}

std::int64_t Topology::platformCounter(const std::string &name) const
{
    return numberOf(httpGetObject(platform(), "/control/counters"), name);
}

void Topology::giveNotice(const std::string &name, std::chrono::milliseconds notice) const
{
    boost::json::object body;
    body["instance"] = name;
    body["notice_ms"] = notice.count();
    const auto response = httpPost(platform(), "/cloud/notice", boost::json::serialize(body));
    if (!response || response->status != 204)
        throw std::runtime_error("the platform gave no notice for " + name);
}

void Topology::controlServer(const std::string &name, const std::string &body) const
{
    const wire::Endpoint own { "127.0.0.1", m_servers.at(name) };
    const auto response = httpPost(own, "/control", body);
    if (!response || response->status != 204)
        throw std::runtime_error(name + " refused " + body);
}

load::Ledger Topology::ledger() const
{
    std::vector<std::string> files;
    for (const auto &server : m_spec.servers)
        files.push_back(ledgerFile(server.name));
    return readLedgerFiles(files);
}

load::Ledger Topology::ledgerOf(const std::string &server) const
{
    return readLedgerFiles({ ledgerFile(server) });
}

std::unique_ptr<Process> Topology::startLoad(const std::string &mix,
                                             const std::vector<std::string> &arguments)
{
    ++m_loads;
    const std::string name = "load-" + std::to_string(m_loads);
    const std::string mixFile = m_directory.file(name + ".yaml");
    writeFile(mixFile, mix);
    std::string targets;
    for (const auto &entry : m_spec.entries)
        targets += (targets.empty() ? "" : ",") + callers(entry.name).toString();
    std::string ledgers;
    for (const auto &server : m_spec.servers) {
        const std::string file = ledgerFile(server.name);
        writeFile(file, readFile(file));
        ledgers += (ledgers.empty() ? "" : ",") + file;
    }
    ProcessSpec spec { name, "snipestall-load", arguments, m_directory.file(name + ".log") };
    spec.arguments.push_back("--mix=" + mixFile);
    spec.arguments.push_back("--targets=" + targets);
    spec.arguments.push_back("--key=" + m_spec.customerKey);
    spec.arguments.push_back("--ledger_files=" + ledgers);
    spec.arguments.emplace_back("--output=json");
    auto process = Process::start(std::move(spec));
    if (!process)
        throw std::runtime_error(process.error().message);
    return std::move(*process);
}

boost::json::object Topology::loadReport(Process &load) const
{
    constexpr std::chrono::minutes Limit { 10 };
    if (!waitUntil([&load] { return !load.running(); }, Limit))
        throw std::runtime_error("snipestall-load did not end");
    boost::system::error_code ec;
    boost::json::value report = boost::json::parse(load.log(), ec);
    if (ec || !report.is_object())
        throw std::runtime_error("snipestall-load wrote no report: " + load.log());
    return std::move(report.as_object());
}

std::string Topology::logs() const
{
    std::ostringstream out;
    for (const auto &spec : m_processSpecs) {
        const std::string text = readFile(spec.logFile);
        const std::size_t from = text.size() > LogTail ? text.size() - LogTail : 0;
        out << "---- " << spec.name << " (" << spec.logFile << ")\n" << text.substr(from);
    }
    return out.str();
}

} // namespace snipestall::harness
