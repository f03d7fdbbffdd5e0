#include "platform/platform.hpp"

#include "common/json_fields.hpp"
#include "common/program.hpp"
#include "platform/platform_json.hpp"

#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace snipestall::standins {

namespace json = boost::json;
using wire::HttpExchange;
using wire::HttpRequest;
using wire::HttpResponse;
using wire::Task;

namespace {

constexpr std::size_t DefaultScanLimit = 1000;

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

/// The last segment of the path, without the query.
std::string lastPathSegment(const HttpRequest &request)
{
    const std::string_view path = request.path();
    return std::string(path.substr(path.rfind('/') + 1));
}

std::string objectName(const HttpRequest &request)
{
    return std::string(request.path().substr(std::string_view("/objects/").size()));
}

HttpResponse jsonResponse(const json::object &object)
{
    return HttpResponse::json(200, json::serialize(object));
}

} // namespace

Platform::Platform(boost::asio::io_context &io, const PlatformOptions &options)
    : m_io(io)
    , m_options(options)
    , m_client(io)
    , m_writePacer(options.writesPerSecond)
    , m_readPacer(options.readsPerSecond)
    , m_weightPacer(options.weightsMegabytesPerSecond)
{ }

std::span<const Route<Platform>> Platform::routes()
{
    static constexpr std::array<Route<Platform>, 16> All { {
        { "POST", "/table/transact", nullptr, &Platform::transact },
        { "POST", "/table/read", nullptr, &Platform::read },
        { "POST", "/table/scan", nullptr, &Platform::scan },
        { "PUT", "/objects/", &Platform::putObject },
        { "GET", "/objects/", &Platform::getObject },
        { "GET", "/instances", &Platform::listInstances },
        { "POST", "/instances", &Platform::addInstance },
        { "DELETE", "/instances/", &Platform::removeInstance },
        { "POST", "/cloud/start", &Platform::start },
        { "POST", "/cloud/release", &Platform::release },
        { "POST", "/cloud/notice", &Platform::giveNotice },
        { "GET", "/cloud/notice", &Platform::getNotice },
        { "GET", "/weights/", nullptr, &Platform::weights },
        { "POST", "/control/faults", &Platform::changeFaults },
        { "GET", "/control/counters", &Platform::counters },
        { "GET", "/control/starts", &Platform::starts },
    } };
    return All;
}

Task<void> Platform::serve(HttpExchange &exchange)
{
    const std::string path(exchange.request().path());
    if (m_faults.stateOf(path) == PartState::Slow)
        co_await wire::sleepFor(m_faults.slow);
    if (m_faults.stateOf(path) == PartState::Down) {
        exchange.abort();
        co_return;
    }
    co_await serveRoute(*this, routes(), exchange);
}

Task<void> Platform::transact(HttpExchange &exchange)
{
    const auto transaction = parseTransaction(parseObject(exchange.request().body));
    const auto wait = m_writePacer.reserve(now(), static_cast<double>(transaction.writes.size()));
    if (wait.count() > 0)
        co_await wire::sleepFor(wait);
    const auto outcome = m_table.transact(transaction);
    ++m_counters.transactions;
    if (outcome.committed)
        m_counters.rowsWritten += transaction.writes.size();
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        ++m_counters.lostAnswers;
        exchange.abort();
        co_return;
    }
    json::object answer;
    answer["committed"] = outcome.committed;
    answer["conflicts"] = toJson(outcome.conflicts);
    co_await exchange.respond(jsonResponse(answer));
}

Task<void> Platform::read(HttpExchange &exchange)
{
    const auto keys = parseKeys(parseObject(exchange.request().body));
    const auto wait = m_readPacer.reserve(now(), static_cast<double>(keys.size()));
    if (wait.count() > 0)
        co_await wire::sleepFor(wait);
    ++m_counters.reads;
    const auto rows = m_table.read(keys);
    json::object answer;
    answer["rows"] = toJson(rows);
    co_await exchange.respond(jsonResponse(answer));
}

Task<void> Platform::scan(HttpExchange &exchange)
{
    const auto body = parseObject(exchange.request().body);
    const auto wait = m_readPacer.reserve(now(), 1);
    if (wait.count() > 0)
        co_await wire::sleepFor(wait);
    ++m_counters.scans;
    const auto limit = integerField(body, "limit", DefaultScanLimit);
    const auto rows = m_table.scan(textField(body, "table"), textField(body, "prefix"),
                                   textField(body, "after"), static_cast<std::size_t>(limit));
    json::object answer;
    answer["rows"] = toJson(rows);
    co_await exchange.respond(jsonResponse(answer));
}

HttpResponse Platform::putObject(const HttpRequest &request)
{
    m_objects[objectName(request)] = request.body;
    return noContent();
}

HttpResponse Platform::getObject(const HttpRequest &request)
{
    const auto found = m_objects.find(objectName(request));
    if (found == m_objects.end())
        return errorResponse(404, "no such object");
    HttpResponse response;
    response.body = found->second;
    return response;
}

HttpResponse Platform::listInstances(const HttpRequest &request)
{
    const auto instances = m_cloud.list(now(), request.query("data_centre"), m_faults.listLag);
    json::object answer;
    answer["instances"] = toJson(instances);
    return jsonResponse(answer);
}

HttpResponse Platform::addInstance(const HttpRequest &request)
{
    m_cloud.add(now(), parseInstance(parseObject(request.body)));
    return noContent();
}

HttpResponse Platform::removeInstance(const HttpRequest &request)
{
    m_cloud.remove(now(), lastPathSegment(request));
    return noContent();
}

HttpResponse Platform::start(const HttpRequest &request)
{
    const auto order = parseStart(parseObject(request.body));
    if (!m_cloud.acceptFencing(order.dataCentre, order.fencingToken))
        return errorResponse(409, "outdated fencing token; a newer one has been seen");
    const bool repeated = m_cloud.started(order.orderId);
    if (m_faults.refuseStarts && !repeated) {
        ++m_counters.refusedStarts;
        return errorResponse(429, "no capacity; try another data centre or class");
    }
    if (!repeated)
        ++m_counters.starts;
    json::object answer;
    answer["instance"] = m_cloud.start(order);
    return jsonResponse(answer);
}

HttpResponse Platform::release(const HttpRequest &request)
{
    const auto body = parseObject(request.body);
    const std::string name = textField(body, "instance");
    const auto fencing = static_cast<std::uint64_t>(integerField(body, "fencing"));
    if (!m_cloud.acceptFencing(m_cloud.dataCentreOf(name), fencing))
        return errorResponse(409, "outdated fencing token; a newer one has been seen");
    if (!m_cloud.release(now(), name))
        return errorResponse(404, "no such instance");
    return noContent();
}

HttpResponse Platform::giveNotice(const HttpRequest &request)
{
    const auto body = parseObject(request.body);
    const std::string name = textField(body, "instance");
    const auto left = millisecondsField(body, "notice_ms", std::chrono::milliseconds(0));
    const auto noticed = m_cloud.markLeaving(now(), name, left);
    if (!noticed)
        return errorResponse(404, "the instance is not listed");
    boost::asio::co_spawn(m_io, removeAfterNotice(name, left), boost::asio::detached);
    if (noticed->role == platform::InstanceRole::Backend) {
        json::object order;
        order["notice_ms"] = left.count();
        boost::asio::co_spawn(m_io, forwardNotice(noticed->address, json::serialize(order)),
                              boost::asio::detached);
    }
    return noContent();
}

HttpResponse Platform::getNotice(const HttpRequest &request)
{
    json::object answer;
    const auto left = m_cloud.noticeLeft(now(), request.query("instance"));
    if (left)
        answer["notice_ms"] = left->count();
    return jsonResponse(answer);
}

Task<void> Platform::forwardNotice(std::string address, std::string body)
{
    const auto endpoint = wire::Endpoint::parse(address);
    if (!endpoint)
        co_return;
    HttpRequest request { "POST", "/control/reclaim", {}, std::move(body) };
    co_await m_client.fetch(*endpoint, std::move(request));
}

// The cloud reclaims the instance when the notice ends, whether or not it has left by itself. A
// newer incarnation under the same name has no notice and is kept.
Task<void> Platform::removeAfterNotice(std::string name, std::chrono::milliseconds left)
{
    co_await wire::sleepFor(left);
    const auto remaining = m_cloud.noticeLeft(now(), name);
    if (remaining && remaining->count() == 0)
        m_cloud.remove(now(), name);
}

Task<void> Platform::weights(HttpExchange &exchange)
{
    const std::string model = lastPathSegment(exchange.request());
    co_await wire::sleepFor(m_weightPacer.reserve(now(), m_options.weightsMegabytes));
    json::object answer;
    answer["model"] = model;
    answer["megabytes"] = m_options.weightsMegabytes;
    co_await exchange.respond(jsonResponse(answer));
}

HttpResponse Platform::changeFaults(const HttpRequest &request)
{
    m_faults.change(parseObject(request.body));
    return noContent();
}

HttpResponse Platform::counters(const HttpRequest &)
{
    json::object answer;
    answer["transactions"] = m_counters.transactions;
    answer["rows_written"] = m_counters.rowsWritten;
    answer["reads"] = m_counters.reads;
    answer["scans"] = m_counters.scans;
    answer["starts"] = m_counters.starts;
    answer["refused_starts"] = m_counters.refusedStarts;
    answer["lost_answers"] = m_counters.lostAnswers;
    return jsonResponse(answer);
}

HttpResponse Platform::starts(const HttpRequest &)
{
    json::object answer;
    answer["starts"] = toJson(m_cloud.starts());
    return jsonResponse(answer);
}

} // namespace snipestall::standins
