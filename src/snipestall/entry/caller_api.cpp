#include "snipestall/entry/caller_api.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/base/random.hpp"
#include "snipestall/entry/dispatcher.hpp"
#include "snipestall/entry/request_store.hpp"
#include "snipestall/peer/membership.hpp"
#include "snipestall/peer/settings_keeper.hpp"
#include "snipestall/settings/effective_settings.hpp"
#include "snipestall/settings/key_holder.hpp"
#include "snipestall/wire/http_exchange.hpp"

#include "answer_writer.hpp"

#include "caller_call.hpp"
#include "model_call.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace snipestall::entry {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view RequestsPrefix = "/v1/requests/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t MaxKeyLength = 256;
constexpr milliseconds MaxDeadline { 3600000 };
constexpr milliseconds RetryElsewhereAfter { 1000 };
/// Model requests with more than this many times the token limit of a short request are patient.
constexpr std::uint32_t PatientFactor = 8;

std::string bearer(const wire::HttpRequest &request)
{
    const std::string value = request.fields.find("Authorization").value_or("");
    if (!value.starts_with(BearerPrefix))
        return {};
    return value.substr(BearerPrefix.size());
}

std::uint64_t parseNumber(const std::string &text, std::uint64_t fallback)
{
    std::uint64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

policy::Urgency urgencyOf(const wire::HttpRequest &request, const RequestSpec &spec,
                          const settings::ServiceSettings &service)
{
    const std::string asked = request.fields.find("Snipestall-Urgency").value_or("");
    if (asked == "urgent")
        return policy::Urgency::Urgent;
    if (asked == "normal")
        return policy::Urgency::Normal;
    if (asked == "patient")
        return policy::Urgency::Patient;
    const std::uint32_t tokens = spec.promptTokens + spec.maxTokens;
    if (spec.kind == settings::ServiceKind::Plain || tokens <= service.shortTokens)
        return policy::Urgency::Urgent;
    return tokens > PatientFactor * service.shortTokens ? policy::Urgency::Patient
                                                        : policy::Urgency::Normal;
}

} // namespace

struct CallerApi::RouteEntry
{
    std::string_view method;
    std::string_view path;
    bool prefix;
    Route route;
};

CallerApi::CallerApi(CallerApiDependencies dependencies, std::uint64_t seed)
    : m_deps(dependencies)
    , m_randomState(seed)
{ }

CallerApi::~CallerApi() = default;

wire::HttpServer::Handler CallerApi::handler()
{
    return [this](wire::HttpExchange &exchange) { return handle(exchange); };
}

std::string CallerApi::newRequestId()
{
    Random random(m_randomState);
    m_randomState = random.next();
    std::array<char, 17> hex {};
    std::snprintf(hex.data(), hex.size(), "%016llx",
                  static_cast<unsigned long long>(random.next()));
    return m_deps.members->self() + "~" + hex.data();
}

wire::Task<void> CallerApi::refuseInvalid(Call &call, int status, std::string message)
{
    auto response = errorResponse(status, "not-run", "invalid_request", message);
    co_await call.exchange.respond(std::move(response));
}

wire::Task<void> CallerApi::handle(wire::HttpExchange &exchange)
{
    static const std::array<RouteEntry, 5> routes { {
        { "POST", "/v1/chat/completions", false, &CallerApi::chat },
        { "POST", "/v1/completions", false, &CallerApi::complete },
        { "GET", "/v1/models", false, &CallerApi::models },
        { "GET", RequestsPrefix, true, &CallerApi::resumeRequest },
        { "", ServicesPrefix, true, &CallerApi::plain },
    } };
    Call call { exchange, exchange.request(), m_deps.settings->effective(), {}, 0 };
    if (call.settings == nullptr || !m_ready) {
        auto response = errorResponse(503, "not-run", "starting",
                                      "this instance has no confirmed settings yet; the request "
                                      "was not run, send it again",
                                      RetryElsewhereAfter);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const auto &keys = call.settings->customerByKeyHash;
    const auto customer = settings::holderOfKey(keys, bearer(call.request));
    if (!customer) {
        co_await refuseInvalid(
            call, 401, "the key belongs to no customer; send a valid key as Authorization: Bearer");
        co_return;
    }
    call.customer = *customer;
    for (const RouteEntry &entry : routes) {
        const std::string_view path = call.request.path();
        const bool matches = entry.prefix ? path.starts_with(entry.path) : path == entry.path;
        if (!matches)
            continue;
        if (!entry.method.empty() && entry.method != call.request.method) {
            co_await refuseInvalid(call, 405,
                                   "this path accepts " + std::string(entry.method) + " only");
            co_return;
        }
        co_await (this->*entry.route)(call);
        co_return;
    }
    co_await refuseInvalid(call, 404, "the path does not exist; see docs/api.md for the paths");
}

wire::Task<void> CallerApi::chat(Call &call)
{
    return model(call, true);
}

wire::Task<void> CallerApi::complete(Call &call)
{
    return model(call, false);
}

wire::Task<void> CallerApi::models(Call &call)
{
    std::set<std::string> names;
    for (const settings::ServiceSettings &service : call.settings->services) {
        const bool permitted = call.settings->leaf(call.customer, service.service) != nullptr;
        if (permitted)
            names.insert(service.models.begin(), service.models.end());
    }
    json::array data;
    for (const std::string &name : names)
        data.push_back({ { "id", name }, { "object", "model" } });
    json::object body;
    body["object"] = "list";
    body["data"] = std::move(data);
    auto response = wire::HttpResponse::json(200, json::serialize(body));
    co_await call.exchange.respond(std::move(response));
}

wire::Task<void> CallerApi::model(Call &call, bool chat)
{
    const auto parsed = ModelCall::parse(call.request.body, chat);
    if (!parsed) {
        co_await refuseInvalid(call, 400, parsed.error().message);
        co_return;
    }
    const settings::ServiceSettings *service = call.settings->serviceOfModel(parsed->model);
    const bool permitted =
        service != nullptr && call.settings->leaf(call.customer, service->service) != nullptr;
    if (!permitted) {
        co_await refuseInvalid(call, 404,
                               "no model '" + parsed->model
                                   + "' is available to this customer; "
                                     "GET /v1/models lists the models");
        co_return;
    }
    RequestSpec spec;
    spec.kind = settings::ServiceKind::Model;
    spec.model = parsed->model;
    spec.body = parsed->prompt;
    spec.promptTokens = parsed->promptTokens();
    spec.maxTokens = parsed->maxTokens;
    if (!fillSpec(call, *service, spec)) {
        co_await refuseInvalid(call, 400,
                               "Snipestall-Deadline-Ms must be from 1 to 3600000, "
                               "Idempotency-Key at most 256 bytes");
        co_return;
    }
    co_await run(call, std::move(spec), parsed->stream, chat);
}

wire::Task<void> CallerApi::plain(Call &call)
{
    std::string_view rest = call.request.path().substr(ServicesPrefix.size());
    const std::string name(rest.substr(0, rest.find('/')));
    const settings::ServiceSettings *service = call.settings->service(name);
    const bool permitted = service != nullptr && service->kind == settings::ServiceKind::Plain
        && call.settings->leaf(call.customer, name) != nullptr;
    if (!permitted) {
        co_await refuseInvalid(call, 404,
                               "no plain service '" + name + "' is available to this customer");
        co_return;
    }
    RequestSpec spec;
    spec.kind = settings::ServiceKind::Plain;
    spec.method = call.request.method;
    spec.target = call.request.target.substr(ServicesPrefix.size() + name.size());
    if (spec.target.empty())
        spec.target = "/";
    spec.body = call.request.body;
    spec.contentType = call.request.fields.find("Content-Type").value_or("");
    if (!fillSpec(call, *service, spec)) {
        co_await refuseInvalid(call, 400,
                               "Snipestall-Deadline-Ms must be from 1 to 3600000, "
                               "Idempotency-Key at most 256 bytes");
        co_return;
    }
    co_await run(call, std::move(spec), false, false);
}

bool CallerApi::fillSpec(const Call &call, const settings::ServiceSettings &service,
                         RequestSpec &spec)
{
    const wire::HttpFields &fields = call.request.fields;
    const settings::LeafSettings *leaf = call.settings->leaf(call.customer, service.service);
    spec.id = newRequestId();
    spec.customer = call.customer;
    spec.service = service.service;
    spec.settingsVersion = call.settings->version;
    spec.idempotencyKey = fields.find("Idempotency-Key").value_or("");
    const std::string idempotentHeader = fields.find("Snipestall-Idempotent").value_or("");
    spec.idempotent = idempotentHeader.empty() ? service.idempotent : idempotentHeader != "no";
    spec.urgency = urgencyOf(call.request, spec, service);
    const auto fallback = static_cast<std::uint64_t>(leaf->deadline.count());
    const std::string asked = fields.find("Snipestall-Deadline-Ms").value_or("");
    const std::uint64_t deadline = asked.empty() ? fallback : parseNumber(asked, 0);
    const auto maxDeadline = static_cast<std::uint64_t>(MaxDeadline.count());
    if (deadline == 0 || deadline > maxDeadline || spec.idempotencyKey.size() > MaxKeyLength)
        return false;
    spec.deadline = steady_clock::now() + milliseconds(deadline);
    return true;
}

wire::Task<void> CallerApi::run(Call &call, RequestSpec spec, bool stream, bool chat)
{
    // A repeat by a caller joins the existing request instead of running a second time.
    if (!spec.idempotencyKey.empty()) {
        const RequestPtr same =
            m_deps.store->findByKey(spec.customer, spec.service, spec.idempotencyKey);
        const bool refused =
            same != nullptr && same->finished() && same->finalAnswer()->outcome == Outcome::NotRun;
        if (same != nullptr && !refused) {
            if (same->spec().body != spec.body) {
                co_await refuseInvalid(call, 409,
                                       "this Idempotency-Key was already used with a "
                                       "different body; use a new key");
                co_return;
            }
            co_await answer(call, same, stream, chat);
            co_return;
        }
    }
    if (m_draining) {
        auto response = errorResponse(503, "not-run", "leaving",
                                      "this instance is shutting down; the request was not run and "
                                      "can be sent again to another instance",
                                      RetryElsewhereAfter);
        co_await call.exchange.respond(std::move(response));
        co_return;
    }
    const RequestPtr request =
        Request::create(m_deps.io->get_executor(), std::move(spec), m_deps.store->nextHandle());
    m_deps.dispatcher->handleArrival(request, false);
    if (call.request.fields.find("Prefer").value_or("") == "respond-async") {
        co_await m_deps.dispatcher->accept(request);
        wire::HttpResponse response = wire::HttpResponse::json(
            202, json::serialize(json::object { { "id", request->spec().id } }));
        response.fields.set("Location", std::string(RequestsPrefix) + request->spec().id);
        response.fields.set("Snipestall-Request-Id", request->spec().id);
        co_await call.exchange.respond(std::move(response));
        co_return;
    }
    co_await answer(call, request, stream, chat);
}

wire::Task<void> CallerApi::answer(Call &call, RequestPtr request, bool stream, bool chat)
{
    AnswerFormat form;
    form.chat = chat;
    form.stream = stream;
    form.from = call.from;
    ++request->readers;
    try {
        co_await writeAnswer(call.exchange, request, form);
    } catch (...) {
        // The caller closed the connection. The request continues, because the caller may
        // reconnect.
        --request->readers;
        throw;
    }
    --request->readers;
    const bool done = request->finished() && request->finalAnswer()->outcome == Outcome::Completed;
    if (done)
        logEvent(events::RequestCompleted,
                 { { "request", request->spec().id }, { "customer", call.customer } });
}

} // namespace snipestall::entry
