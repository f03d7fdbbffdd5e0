#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/task.hpp"

#include <string>

namespace snipestall::peer {
class SettingsKeeper;
class SettingsStore;
} // namespace snipestall::peer
namespace snipestall::wire {
struct HttpRequest;
}

namespace snipestall::admin {

/// Authenticates operators by their bearer keys. While no settings exist at all, the bootstrap key
/// is accepted under the operator name "bootstrap".
class OperatorAuth
{
public:
    OperatorAuth(peer::SettingsStore &store, peer::SettingsKeeper &keeper,
                 std::string bootstrapKeyHash);

    /// Returns the name of the operator whose key the request carries. Fails with Unauthenticated
    /// if there is none, and with Unavailable if this instance has no settings in force and can't
    /// read from the table whether any exist, or can't put them in force.
    wire::Task<Result<std::string>> authenticate(const wire::HttpRequest &request);

private:
    /// Whether any settings exist; those of the table are first put in force here.
    wire::Task<Result<bool>> settingsExist();

    peer::SettingsStore &m_store;
    peer::SettingsKeeper &m_keeper;
    std::string m_bootstrapKeyHash;
};

/// Operator name of the bootstrap key in the audit trail.
inline constexpr const char *BootstrapOperator = "bootstrap";

} // namespace snipestall::admin
