#pragma once

#include "snipestall/admin/messages.hpp"
#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"

#include "exit_code.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::ctl {

/// Why a command failed: its exit code and the server's refusal or a local error.
struct Failure
{
    ExitCode code = ExitCode::BadInput;
    admin::RefusalMessage refusal;

    static Failure of(ExitCode code, ErrorKind kind, std::string message);
};

template<typename T>
using Outcome = tl::expected<T, Failure>;

/// Servers, key, retries and timeouts of an OperatorsClient.
struct ClientOptions
{
    std::vector<wire::Endpoint> servers;
    std::string key;
    /// How many times a change is sent to all servers in turn.
    int rounds = 3;
    /// The pause between two rounds.
    std::chrono::milliseconds pause { 500 };
    /// The idle timeout of each call.
    std::chrono::milliseconds answerTimeout { 10000 };
};

/// Client of the operators' listeners. Its calls block and run one at a time.
///
///     OperatorsClient client(options);
///     auto settings = client.settings();
class OperatorsClient
{
public:
    explicit OperatorsClient(ClientOptions options);
    ~OperatorsClient();

    Outcome<admin::SettingsMessage> settings();
    Outcome<admin::SettingsMessage> version(std::uint64_t version);
    Outcome<admin::EffectiveMessage> effective(const std::string &dataCentre,
                                               const std::string &customer,
                                               const std::string &service);
    Outcome<admin::AuditMessage> audit(const std::string &since, const std::string &path,
                                       const std::string &who, std::uint64_t limit);
    Outcome<admin::InstanceStatus> status(const wire::Endpoint &server);
    /// Starts the graceful shutdown of the instance; safe to repeat.
    Outcome<admin::InstanceStatus> drain(const wire::Endpoint &server);

    /// Sends a change until its outcome is known. If an answer is lost, the change is sent again
    /// with the same id to the next server. Fails with OutcomeUnknown if the change may have been
    /// applied when all rounds are used up.
    Outcome<admin::AcceptedMessage> change(const peer::SettingsChange &change);

    [[nodiscard]] const std::vector<wire::Endpoint> &servers() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace snipestall::ctl
