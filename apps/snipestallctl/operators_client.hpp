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

/// Why a command ends without what was asked for.
struct Failure
{
    ExitCode code = ExitCode::BadInput;
    admin::RefusalMessage refusal;

    static Failure of(ExitCode code, ErrorKind kind, std::string message);
};

template<typename T>
using Outcome = tl::expected<T, Failure>;

struct ClientOptions
{
    std::vector<wire::Endpoint> servers;
    std::string key;
    /// How often the whole list of servers is gone through.
    int rounds = 3;
    std::chrono::milliseconds pause { 500 };
    std::chrono::milliseconds answerTimeout { 10000 };
};

/// Talks to the operators' listeners, one call at a time. Blocks.
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
    Outcome<admin::InstanceStatus> drain(const wire::Endpoint &server);

    /// Sends a change until its outcome is known: a lost answer is asked for again with the same
    /// id, at the next server.
    Outcome<admin::AcceptedMessage> change(const peer::SettingsChange &change);

    [[nodiscard]] const std::vector<wire::Endpoint> &servers() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace snipestall::ctl
