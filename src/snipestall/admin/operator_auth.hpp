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

/// Who is asking. While there are no settings at all, the bootstrap key speaks as "bootstrap".
class OperatorAuth
{
public:
    OperatorAuth(peer::SettingsStore &store, peer::SettingsKeeper &keeper,
                 std::string bootstrapKeyHash);

    /// The operator's name. Unauthenticated, or Unavailable when this instance has no settings yet
    /// and can't find out whether there are any.
    wire::Task<Result<std::string>> operatorOf(const wire::HttpRequest &request);

private:
    wire::Task<Result<bool>> haveSettings();

    peer::SettingsStore &m_store;
    peer::SettingsKeeper &m_keeper;
    std::string m_bootstrapKeyHash;
};

/// The name under which the bootstrap key's change stands in the audit trail.
inline constexpr const char *BootstrapOperator = "bootstrap";

} // namespace snipestall::admin
