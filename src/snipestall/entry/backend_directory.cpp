#include "snipestall/entry/backend_directory.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/rendezvous.hpp"
#include "snipestall/entry/policy_loop.hpp"
#include "snipestall/peer/membership.hpp"
#include "snipestall/platform/instance_list.hpp"
#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <utility>

namespace snipestall::entry {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

std::uint64_t numberField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_number())
        return 0;
    return value->to_number<std::uint64_t>();
}

bool boolField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::vector<std::string> models(const json::object &load)
{
    std::vector<std::string> names;
    const json::value *list = load.if_contains("models");
    if (list == nullptr || !list->is_array())
        return names;
    for (const json::value &model : list->get_array()) {
        if (model.is_string())
            names.emplace_back(model.get_string());
    }
    return names;
}

} // namespace

BackendDirectory::BackendDirectory(boost::asio::io_context &io, platform::InstanceList &list,
                                   wire::HttpClient &http, peer::Membership &members,
                                   PolicyLoop &policy, Options options)
    : m_io(io)
    , m_list(list)
    , m_http(http)
    , m_members(members)
    , m_policy(policy)
    , m_options(options)
{ }

BackendDirectory::~BackendDirectory()
{
    *m_alive = false;
}

void BackendDirectory::start()
{
    wire::spawnLoop(
        m_io, [this] { return listLoop(); }, "server-list");
    wire::spawnLoop(
        m_io, [this] { return loadLoop(); }, "server-load");
}

void BackendDirectory::stop()
{
    *m_alive = false;
}

wire::Task<void> BackendDirectory::listLoop()
{
    const auto alive = m_alive;
    while (*alive) {
        auto instances = co_await m_list.list(m_members.dataCentre());
        if (!*alive)
            co_return;
        // While the platform is down the last list stays in use, as its servers are polled anyway.
        if (instances)
            applyInstanceList(*instances);
        co_await wire::sleepFor(m_options.listInterval);
    }
}

void BackendDirectory::applyInstanceList(const std::vector<platform::ListedInstance> &instances)
{
    for (const platform::ListedInstance &listed : instances) {
        const bool backend = listed.role == platform::InstanceRole::Backend;
        const bool self = !backend && listed.name == m_members.self();
        if (backend)
            applyListedBackend(listed);
        else if (!self)
            m_members.addKnownMember(listed.name, listed.dataCentre, listed.address);
        else if (listed.leaving && m_onSelfLeaving)
            m_onSelfLeaving(listed.noticeLeft.value_or(milliseconds(0)));
    }
    reassign();
}

void BackendDirectory::applyListedBackend(const platform::ListedInstance &listed)
{
    const auto endpoint = wire::Endpoint::parse(listed.address);
    if (!endpoint)
        return;
    const auto [it, added] = m_backends.try_emplace(listed.name);
    Backend &backend = it->second;
    if (added || listed.incarnation > backend.listed.incarnation)
        replace(backend, listed);
    if (listed.leaving)
        markLeaving(listed.name, listed.incarnation, listed.noticeLeft.value_or(milliseconds(0)));
}

// A new incarnation is a different server with the same name: no state of the previous one applies.
void BackendDirectory::replace(Backend &backend, const platform::ListedInstance &listed)
{
    lose(backend);
    Backend fresh;
    fresh.listed = listed;
    fresh.endpoint = wire::Endpoint::parse(listed.address).value_or(wire::Endpoint {});
    fresh.handle = { ++m_nextHandle };
    fresh.leaving = isKnownLeaving(listed.name, listed.incarnation);
    fresh.polling = backend.polling;
    backend = std::move(fresh);
}

void BackendDirectory::reassign()
{
    const std::vector<std::string> owners = m_members.owners();
    for (auto &[name, backend] : m_backends) {
        const bool owned = rendezvousPick(name, owners) == m_members.self();
        if (backend.owned && !owned)
            lose(backend);
        backend.owned = owned;
    }
}

wire::Task<void> BackendDirectory::loadLoop()
{
    const auto alive = m_alive;
    while (*alive) {
        for (const auto &[name, backend] : m_backends) {
            if (backend.owned && !backend.polling)
                wire::spawn(m_io, poll(name), "server-poll");
        }
        co_await wire::sleepFor(m_options.loadInterval);
    }
}

wire::Task<void> BackendDirectory::poll(std::string name)
{
    const auto alive = m_alive;
    const policy::ServerHandle asked = m_backends.at(name).handle;
    m_backends.at(name).polling = true;
    wire::HttpRequest request;
    request.target = "/load";
    wire::HttpCallOptions options;
    options.connectTimeout = m_options.loadTimeout;
    options.idleTimeout = m_options.loadTimeout;
    const wire::Endpoint endpoint = m_backends.at(name).endpoint;
    auto response = co_await m_http.fetch(endpoint, std::move(request), options);
    if (!*alive)
        co_return;
    Backend &backend = m_backends.at(name);
    backend.polling = false;
    if (backend.handle != asked)
        co_return;
    boost::system::error_code parseError;
    const json::value load =
        response ? json::parse(response->body, parseError) : json::value(nullptr);
    if (response && response->status == 200 && !parseError && load.is_object()) {
        applyLoad(backend, load.get_object());
        co_return;
    }
    if (++backend.failedPolls >= m_options.failedPollsUntilLost)
        lose(backend);
}

void BackendDirectory::applyLoad(Backend &backend, const json::object &load)
{
    backend.failedPolls = 0;
    const std::uint64_t incarnation = numberField(load, "incarnation");
    // Another incarnation answers at this address; wait until the platform's list describes it.
    if (incarnation != backend.listed.incarnation)
        return lose(backend);
    if (boolField(load, "leaving"))
        markLeaving(backend.listed.name, incarnation, milliseconds(numberField(load, "notice_ms")));
    const auto slots = static_cast<std::uint32_t>(numberField(load, "slots"));
    std::vector<std::string> loadedModels = models(load);
    const bool changed = !backend.up || slots != backend.slots || loadedModels != backend.models;
    backend.slots = slots;
    backend.models = std::move(loadedModels);
    if (!backend.owned || backend.leaving)
        return;
    if (changed) {
        const bool cameUp = !std::exchange(backend.up, true);
        m_policy.post(policy::ServerUp { backend.handle, backend.listed.service,
                                         backend.listed.dataCentre, backend.listed.instanceClass,
                                         backend.slots, backend.models });
        if (cameUp) {
            logEvent(events::ServerUp, { { "server", backend.listed.name } });
            // The policy processes the server within this iteration of the loop; the callback runs
            // after that, so that peers get the new state.
            boost::asio::post(m_io, [this, alive = m_alive] {
                if (*alive && m_onChange)
                    m_onChange();
            });
        }
    }
    m_policy.post(policy::ServerReport { backend.handle,
                                         static_cast<std::uint32_t>(numberField(load, "running")),
                                         static_cast<std::uint32_t>(numberField(load, "queued")),
                                         milliseconds(numberField(load, "age_ms")) });
}

void BackendDirectory::lose(Backend &backend)
{
    if (!std::exchange(backend.up, false))
        return;
    logEvent(events::ServerLost, { { "server", backend.listed.name } });
    m_policy.post(policy::ServerGone { backend.handle });
}

bool BackendDirectory::isKnownLeaving(const std::string &name, std::uint64_t incarnation) const
{
    const auto it = m_leaving.find(name);
    return it != m_leaving.end() && it->second >= incarnation;
}

// The platform's list lags by half a minute and still lists a leaving server as live. If that were
// trusted, the server would get requests that are lost when it stops. Therefore the mark is kept
// per incarnation and passed on to peers; only a higher incarnation is a new server.
void BackendDirectory::markLeaving(const std::string &server, std::uint64_t incarnation,
                                   milliseconds notice)
{
    if (isKnownLeaving(server, incarnation))
        return;
    m_leaving[server] = incarnation;
    logEvent(events::ServerLeaving,
             { { "server", server }, { "notice_ms", std::to_string(notice.count()) } });
    const auto it = m_backends.find(server);
    if (it != m_backends.end() && it->second.listed.incarnation <= incarnation) {
        it->second.leaving = true;
        m_policy.post(policy::ServerLeaving { it->second.handle, notice });
    }
    if (m_onChange)
        m_onChange();
}

std::vector<peer::LeavingServer> BackendDirectory::leavingServers() const
{
    std::vector<peer::LeavingServer> servers;
    servers.reserve(m_leaving.size());
    for (const auto &[name, incarnation] : m_leaving)
        servers.push_back({ name, incarnation });
    return servers;
}

bool BackendDirectory::hasServerUp(const std::string &service) const
{
    return std::any_of(m_backends.begin(), m_backends.end(), [&](const auto &entry) {
        return entry.second.listed.service == service && entry.second.up && !entry.second.leaving;
    });
}

void BackendDirectory::pollNow(policy::ServerHandle handle)
{
    for (auto &[name, backend] : m_backends) {
        if (backend.handle == handle && backend.owned && !backend.polling)
            wire::spawn(m_io, poll(name), "server-poll");
    }
}

const Backend *BackendDirectory::find(policy::ServerHandle handle) const
{
    for (const auto &[name, backend] : m_backends) {
        if (backend.handle == handle)
            return &backend;
    }
    return nullptr;
}

} // namespace snipestall::entry
