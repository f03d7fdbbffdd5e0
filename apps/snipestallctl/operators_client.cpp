#include "operators_client.hpp"

#include "snipestall/wire/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/url/url.hpp>

#include <array>
#include <thread>
#include <utility>

namespace snipestall::ctl {

using wire::Endpoint;
using wire::HttpRequest;
using wire::HttpResponse;

namespace {

constexpr int Ok = 200;
constexpr int Accepted = 202;
constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
constexpr int Conflict = 409;
constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int ServiceUnavailable = 503;

/// The exit code for an HTTP status other than a success.
ExitCode exitCodeOf(int status)
{
    constexpr std::array Refusals { Unauthorized, Forbidden, Conflict, TooManyRequests };
    for (const int refusal : Refusals) {
        if (status == refusal)
            return ExitCode::Refused;
    }
    if (status == ServiceUnavailable)
        return ExitCode::Unreachable;
    return status >= FirstServerError ? ExitCode::OutcomeUnknown : ExitCode::BadInput;
}

Failure failureOf(const Endpoint &server, const HttpResponse &response)
{
    auto refusal = admin::decodeRefusal(response.body);
    if (refusal)
        return { exitCodeOf(response.status), std::move(*refusal) };
    return Failure::of(exitCodeOf(response.status), ErrorKind::Internal,
                       server.toString() + " answered with HTTP status "
                           + std::to_string(response.status)
                           + " and no message; check that this address is an operators' listener");
}

/// Whether this failure settles the outcome of the change. If the answer to an earlier attempt may
/// have been lost, a refused key does not: it says nothing about that attempt.
bool settlesOutcome(const Failure &failure, bool mayBeApplied)
{
    const bool isWrongKey = failure.refusal.error.kind == ErrorKind::Unauthenticated
        || failure.refusal.error.kind == ErrorKind::PermissionDenied;
    if (mayBeApplied && isWrongKey)
        return false;
    return failure.code == ExitCode::Refused || failure.code == ExitCode::BadInput;
}

struct Parameter
{
    const char *name;
    const std::string &value;
};

std::string targetOf(std::string_view path, std::initializer_list<Parameter> parameters)
{
    boost::urls::url url;
    url.set_path(path);
    for (const Parameter &parameter : parameters) {
        if (!parameter.value.empty())
            url.params().append({ parameter.name, parameter.value });
    }
    return std::string(url.encoded_target());
}

wire::Task<void> fetchInto(wire::HttpClient &client, Endpoint server, HttpRequest request,
                           wire::HttpCallOptions options, Result<HttpResponse> &result)
{
    result = co_await client.fetch(std::move(server), std::move(request), std::move(options));
}

} // namespace

Failure Failure::of(ExitCode code, ErrorKind kind, std::string message)
{
    Failure failure;
    failure.code = code;
    failure.refusal.error = { kind, std::move(message) };
    return failure;
}

struct OperatorsClient::State
{
    ClientOptions options;
    boost::asio::io_context io;
    wire::HttpClient client { io };

    explicit State(ClientOptions clientOptions)
        : options(std::move(clientOptions))
    { }

    Result<HttpResponse> send(const Endpoint &server, HttpRequest request);
    Outcome<HttpResponse> getFrom(const Endpoint &server, const std::string &target);
    Outcome<HttpResponse> getFromAny(const std::string &target);
    Outcome<admin::AcceptedMessage> sendChange(const Endpoint &server, const HttpRequest &request);

    template<typename Message>
    Outcome<Message> read(const std::string &target, Result<Message> (*decode)(std::string_view));
};

Result<HttpResponse> OperatorsClient::State::send(const Endpoint &server, HttpRequest request)
{
    request.fields.set("Authorization", "Bearer " + options.key);
    wire::HttpCallOptions call;
    call.idleTimeout = options.answerTimeout;
    call.freshConnection = true;
    Result<HttpResponse> result = fail(ErrorKind::Internal, "the call ended without a result");
    boost::asio::co_spawn(io, fetchInto(client, server, std::move(request), call, result),
                          boost::asio::detached);
    io.restart();
    io.run();
    return result;
}

Outcome<HttpResponse> OperatorsClient::State::getFrom(const Endpoint &server,
                                                      const std::string &target)
{
    HttpRequest request;
    request.target = target;
    auto response = send(server, std::move(request));
    if (!response)
        return tl::unexpected(
            Failure::of(ExitCode::Unreachable, response.error().kind, response.error().message));
    if (response->status != Ok)
        return tl::unexpected(failureOf(server, *response));
    return std::move(*response);
}

Outcome<HttpResponse> OperatorsClient::State::getFromAny(const std::string &target)
{
    Failure lastFailure;
    for (const Endpoint &server : options.servers) {
        auto answer = getFrom(server, target);
        if (answer || answer.error().code == ExitCode::Refused
            || answer.error().code == ExitCode::BadInput)
            return answer;
        lastFailure = std::move(answer.error());
    }
    return tl::unexpected(std::move(lastFailure));
}

Outcome<admin::AcceptedMessage> OperatorsClient::State::sendChange(const Endpoint &server,
                                                                   const HttpRequest &request)
{
    const auto response = send(server, request);
    if (!response) {
        const bool isUnavailable = response.error().kind == ErrorKind::Unavailable;
        return tl::unexpected(
            Failure::of(isUnavailable ? ExitCode::Unreachable : ExitCode::OutcomeUnknown,
                        response.error().kind, response.error().message));
    }
    if (response->status != Ok)
        return tl::unexpected(failureOf(server, *response));
    const auto accepted = admin::decodeAccepted(response->body);
    if (accepted)
        return *accepted;
    return tl::unexpected(
        Failure::of(ExitCode::OutcomeUnknown, ErrorKind::Internal, accepted.error().message));
}

template<typename Message>
Outcome<Message> OperatorsClient::State::read(const std::string &target,
                                              Result<Message> (*decode)(std::string_view))
{
    const auto answer = getFromAny(target);
    if (!answer)
        return tl::unexpected(answer.error());
    auto message = decode(answer->body);
    if (!message)
        return tl::unexpected(
            Failure::of(ExitCode::BadInput, ErrorKind::Internal, message.error().message));
    return std::move(*message);
}

OperatorsClient::OperatorsClient(ClientOptions options)
    : m_state(std::make_unique<State>(std::move(options)))
{ }

OperatorsClient::~OperatorsClient() = default;

const std::vector<Endpoint> &OperatorsClient::servers() const
{
    return m_state->options.servers;
}

Outcome<admin::SettingsMessage> OperatorsClient::settings()
{
    return m_state->read("/settings", admin::decodeSettings);
}

Outcome<admin::SettingsMessage> OperatorsClient::version(std::uint64_t version)
{
    return m_state->read("/settings/versions/" + std::to_string(version), admin::decodeSettings);
}

Outcome<admin::EffectiveMessage> OperatorsClient::effective(const std::string &dataCentre,
                                                            const std::string &customer,
                                                            const std::string &service)
{
    const std::string target = targetOf(
        "/settings/effective",
        { { "data_centre", dataCentre }, { "customer", customer }, { "service", service } });
    return m_state->read(target, admin::decodeEffective);
}

Outcome<admin::AuditMessage> OperatorsClient::audit(const std::string &since,
                                                    const std::string &path, const std::string &who,
                                                    std::uint64_t limit)
{
    const std::string rows = std::to_string(limit);
    const std::string target = targetOf(
        "/audit", { { "since", since }, { "path", path }, { "who", who }, { "limit", rows } });
    return m_state->read(target, admin::decodeAudit);
}

Outcome<admin::InstanceStatus> OperatorsClient::status(const Endpoint &server)
{
    const auto answer = m_state->getFrom(server, "/status");
    if (!answer)
        return tl::unexpected(answer.error());
    auto status = admin::decodeStatus(answer->body);
    if (!status)
        return tl::unexpected(
            Failure::of(ExitCode::BadInput, ErrorKind::Internal, status.error().message));
    return std::move(*status);
}

Outcome<admin::InstanceStatus> OperatorsClient::drain(const Endpoint &server)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/drain";
    const auto response = m_state->send(server, std::move(request));
    if (!response) {
        const bool isUnavailable = response.error().kind == ErrorKind::Unavailable;
        return tl::unexpected(Failure::of(
            isUnavailable ? ExitCode::Unreachable : ExitCode::OutcomeUnknown, response.error().kind,
            response.error().message + "; drain can safely be repeated"));
    }
    if (response->status != Accepted)
        return tl::unexpected(failureOf(server, *response));
    auto status = admin::decodeStatus(response->body);
    if (!status)
        return tl::unexpected(
            Failure::of(ExitCode::BadInput, ErrorKind::Internal, status.error().message));
    return std::move(*status);
}

// An answer can be lost after the change took effect. Reporting a failure would make the operator
// repeat the change, or undo a change that is in force. So the change is sent again with the same
// id, also to the next server: the store either finds the id or makes the change, never both. Once
// an answer was lost, a later "could not reach the table" or "wrong key" says nothing about the
// earlier attempt, and the outcome stays unknown. A conflict or a fault does settle it: the lost
// attempt can only take effect on the version it was based on, and against that version the repeat
// would not have been refused.
Outcome<admin::AcceptedMessage> OperatorsClient::change(const peer::SettingsChange &change)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/settings/changes";
    request.fields.set("Content-Type", "application/json");
    request.body = admin::encodeChange(change);
    Failure lastFailure;
    bool mayBeApplied = false;
    for (int round = 0; round < m_state->options.rounds; ++round) {
        if (round > 0)
            std::this_thread::sleep_for(m_state->options.pause);
        for (const Endpoint &server : m_state->options.servers) {
            auto outcome = m_state->sendChange(server, request);
            if (outcome || settlesOutcome(outcome.error(), mayBeApplied))
                return outcome;
            lastFailure = std::move(outcome.error());
            mayBeApplied = mayBeApplied || lastFailure.code == ExitCode::OutcomeUnknown;
        }
    }
    lastFailure.code = mayBeApplied ? ExitCode::OutcomeUnknown : ExitCode::Unreachable;
    return tl::unexpected(std::move(lastFailure));
}

} // namespace snipestall::ctl
