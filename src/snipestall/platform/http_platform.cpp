#include "snipestall/platform/http_platform.hpp"

#include "snipestall/base/clock.hpp"
#include "snipestall/platform/circuit_breaker.hpp"
#include "snipestall/platform/platform_json.hpp"
#include "snipestall/wire/http_client.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/grammar/lut_chars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <utility>

namespace snipestall::platform {

using wire::HttpRequest;
using wire::HttpResponse;
using wire::Task;

namespace {

constexpr int Ok = 200;
constexpr int NoContent = 204;
constexpr int NotFoundStatus = 404;
constexpr int ConflictStatus = 409;
constexpr int TooManyRequests = 429;
constexpr int ServerErrors = 500;

std::string percentEncoded(std::string_view text)
{
    constexpr auto Allowed = boost::urls::unreserved_chars + '/';
    return boost::urls::encode(text, Allowed);
}

HttpRequest post(std::string target, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.fields.set("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

/// Converts a status other than success to an error whose kind tells whether the call may have had
/// an effect.
tl::unexpected<Error> errorOf(const HttpResponse &response)
{
    const std::string status = std::to_string(response.status);
    if (response.status == NotFoundStatus)
        return fail(ErrorKind::NotFound, "the platform has nothing of this name; check the name");
    if (response.status == ConflictStatus)
        return fail(
            ErrorKind::Conflict,
            "the platform has received a greater fencing token; another steward holds the lease");
    if (response.status == TooManyRequests)
        return fail(ErrorKind::Exhausted, "the platform refuses the call for now; try again later");
    if (response.status >= ServerErrors)
        return fail(ErrorKind::OutcomeUnknown,
                    "the platform answered " + status + "; read back whether the call took effect");
    return fail(ErrorKind::InvalidArgument,
                "the platform answered " + status + "; check that both speak the same protocol");
}

/// Returns the error of a call that changes nothing: it can't have had an effect, however it
/// failed, so an unknown outcome becomes Unavailable.
Error withoutEffect(Error error)
{
    if (error.kind == ErrorKind::OutcomeUnknown || error.kind == ErrorKind::DeadlineExceeded)
        error.kind = ErrorKind::Unavailable;
    return error;
}

bool isOutage(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::OutcomeUnknown
        || kind == ErrorKind::DeadlineExceeded;
}

} // namespace

struct HttpPlatform::State
{
    State(boost::asio::io_context &io, wire::Endpoint platformEndpoint, const Clock &systemClock,
          HttpPlatformOptions platformOptions)
        : client(io)
        , endpoint(std::move(platformEndpoint))
        , clock(systemClock)
        , options(platformOptions)
        , table("table", platformOptions.circuit, platformOptions.seed)
        , objects("objects", platformOptions.circuit, platformOptions.seed + 1)
        , cloud("cloud", platformOptions.circuit, platformOptions.seed + 2)
    { }

    /// Makes one call through a circuit breaker. Statuses other than 200 and 204 become errors.
    Task<Result<HttpResponse>> call(CircuitBreaker &circuit, HttpRequest request);

    wire::HttpClient client;
    wire::Endpoint endpoint;
    const Clock &clock;
    HttpPlatformOptions options;
    CircuitBreaker table;
    CircuitBreaker objects;
    CircuitBreaker cloud;
    PlatformCounters counters;
};

Task<Result<HttpResponse>> HttpPlatform::State::call(CircuitBreaker &circuit, HttpRequest request)
{
    const auto ticket = circuit.admit(clock.steadyNow());
    if (!ticket) {
        ++counters.refusedLocally;
        co_return fail(ErrorKind::Unavailable,
                       "the platform does not answer; try again when it has recovered");
    }
    ++counters.calls;
    counters.bytesOut += request.body.size();
    wire::HttpCallOptions callOptions;
    callOptions.connectTimeout = options.connectTimeout;
    callOptions.idleTimeout = options.idleTimeout;
    Result<HttpResponse> response =
        co_await client.fetch(endpoint, std::move(request), std::move(callOptions));
    if (response) {
        counters.bytesIn += response->body.size();
        if (response->status != Ok && response->status != NoContent)
            response = errorOf(*response);
    }
    const bool isOutageError = !response && isOutage(response.error().kind);
    if (isOutageError) {
        ++counters.failures;
        circuit.recordFailure(*ticket, clock.steadyNow(), response.error().message);
    } else {
        circuit.recordSuccess(*ticket);
    }
    co_return response;
}

std::unique_ptr<HttpPlatform> HttpPlatform::create(boost::asio::io_context &io,
                                                   wire::Endpoint endpoint, const Clock &clock,
                                                   HttpPlatformOptions options)
{
    auto state = std::make_shared<State>(io, std::move(endpoint), clock, options);
    return std::unique_ptr<HttpPlatform>(new HttpPlatform(std::move(state)));
}

HttpPlatform::HttpPlatform(std::shared_ptr<State> state)
    : m_state(std::move(state))
{ }

HttpPlatform::~HttpPlatform() = default;

bool HttpPlatform::tableAvailable() const
{
    return m_state->table.isAvailable();
}

PlatformCounters HttpPlatform::counters() const
{
    return m_state->counters;
}

Task<Result<TransactionOutcome>> HttpPlatform::transact(Transaction transaction)
{
    const auto state = m_state;
    ++state->counters.transactions;
    state->counters.rowWrites += transaction.writes.size();
    HttpRequest request = post("/table/transact", encodeTransaction(transaction));
    const auto response = co_await state->call(state->table, std::move(request));
    if (!response) {
        Error error = response.error();
        // A throttled transaction was refused before it ran, so it had no effect.
        if (error.kind == ErrorKind::Exhausted)
            error.kind = ErrorKind::Unavailable;
        co_return tl::unexpected<Error>(std::move(error));
    }
    auto outcome = decodeTransactionOutcome(response->body);
    // An answer that can't be parsed does not prove that the transaction failed.
    if (!outcome)
        outcome.error().kind = ErrorKind::OutcomeUnknown;
    co_return outcome;
}

Task<Result<std::vector<Row>>> HttpPlatform::read(std::vector<RowKey> keys)
{
    const auto state = m_state;
    ++state->counters.reads;
    HttpRequest request = post("/table/read", encodeRead(keys));
    const auto response = co_await state->call(state->table, std::move(request));
    if (!response)
        co_return tl::unexpected<Error>(withoutEffect(response.error()));
    co_return decodeRows(response->body);
}

Task<Result<std::vector<Row>>> HttpPlatform::scan(std::string table, std::string prefix,
                                                  std::string after, std::size_t limit)
{
    const auto state = m_state;
    ++state->counters.scans;
    HttpRequest request = post("/table/scan", encodeScan(table, prefix, after, limit));
    const auto response = co_await state->call(state->table, std::move(request));
    if (!response)
        co_return tl::unexpected<Error>(withoutEffect(response.error()));
    co_return decodeRows(response->body);
}

Task<Result<void>> HttpPlatform::put(std::string name, std::string bytes)
{
    const auto state = m_state;
    HttpRequest request;
    request.method = "PUT";
    request.target = "/objects/" + percentEncoded(name);
    request.body = std::move(bytes);
    const auto response = co_await state->call(state->objects, std::move(request));
    if (!response)
        co_return tl::unexpected<Error>(response.error());
    co_return Result<void>();
}

Task<Result<std::string>> HttpPlatform::get(std::string name)
{
    const auto state = m_state;
    HttpRequest request;
    request.target = "/objects/" + percentEncoded(name);
    auto response = co_await state->call(state->objects, std::move(request));
    if (!response)
        co_return tl::unexpected<Error>(withoutEffect(response.error()));
    co_return std::move(response->body);
}

Task<Result<std::vector<ListedInstance>>> HttpPlatform::list(std::string dataCentre)
{
    const auto state = m_state;
    HttpRequest request;
    request.target = "/instances?data_centre=" + percentEncoded(dataCentre);
    const auto response = co_await state->call(state->cloud, std::move(request));
    if (!response)
        co_return tl::unexpected<Error>(withoutEffect(response.error()));
    co_return decodeInstances(response->body);
}

Task<Result<std::string>> HttpPlatform::start(StartOrder order)
{
    const auto state = m_state;
    HttpRequest request = post("/cloud/start", encodeStart(order));
    const auto response = co_await state->call(state->cloud, std::move(request));
    if (!response)
        co_return tl::unexpected<Error>(response.error());
    co_return decodeStarted(response->body);
}

Task<Result<void>> HttpPlatform::release(std::string instance, std::uint64_t fencingToken)
{
    const auto state = m_state;
    HttpRequest request = post("/cloud/release", encodeRelease(instance, fencingToken));
    const auto response = co_await state->call(state->cloud, std::move(request));
    if (!response)
        co_return tl::unexpected<Error>(response.error());
    co_return Result<void>();
}

} // namespace snipestall::platform
