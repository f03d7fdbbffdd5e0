#include "operator_auth.hpp"

#include "snipestall/peer/settings_keeper.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/settings/key_holder.hpp"
#include "snipestall/wire/http_request.hpp"

#include <boost/beast/core/string.hpp>

#include <optional>
#include <string_view>
#include <utility>

namespace snipestall::admin {
namespace {

/// Returns the key of the header "Authorization: Bearer KEY"; nothing if there is no such header.
std::optional<std::string> bearerKey(const wire::HttpRequest &request)
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto header = request.fields.find("Authorization");
    if (!header || header->size() <= Scheme.size())
        return std::nullopt;
    if (!boost::beast::iequals(std::string_view(*header).substr(0, Scheme.size()), Scheme))
        return std::nullopt;
    return header->substr(Scheme.size());
}

} // namespace

OperatorAuth::OperatorAuth(peer::SettingsStore &store, peer::SettingsKeeper &keeper,
                           std::string bootstrapKeyHash)
    : m_store(store)
    , m_keeper(keeper)
    , m_bootstrapKeyHash(std::move(bootstrapKeyHash))
{ }

// An instance that has just started has no settings in force yet, although some may exist in the
// table. If it accepted the bootstrap key then, that key, which is meant only for the first change,
// would be accepted by every restarted instance for ever. The table is therefore read first, and
// while it does not answer no key is accepted.
wire::Task<Result<bool>> OperatorAuth::settingsExist()
{
    if (m_keeper.effective())
        co_return true;
    const auto head = co_await m_store.head();
    if (!head)
        co_return fail(ErrorKind::Unavailable,
                       "this instance has no settings yet and can't read the platform's table to "
                       "check the key; try again or send the request to another instance");
    if (head->version == 0)
        co_return false;
    m_keeper.offer(*head);
    if (m_keeper.effective())
        co_return true;
    co_return fail(ErrorKind::Unavailable,
                   "the settings in the table could not be put in force here; see event 201 in "
                   "this instance's log, or send the request to another instance");
}

wire::Task<Result<std::string>> OperatorAuth::authenticate(const wire::HttpRequest &request)
{
    const auto key = bearerKey(request);
    if (!key)
        co_return fail(ErrorKind::Unauthenticated,
                       "send an operator's key in the header Authorization: Bearer KEY");
    const auto configured = co_await settingsExist();
    if (!configured)
        co_return tl::unexpected<Error>(configured.error());
    if (!*configured && settings::keyHasHash(*key, m_bootstrapKeyHash))
        co_return std::string(BootstrapOperator);
    if (*configured) {
        if (auto name = settings::holderOfKey(m_keeper.effective()->operatorByKeyHash, *key))
            co_return std::move(*name);
    }
    co_return fail(ErrorKind::Unauthenticated,
                   *configured ? "no operator has this key; an operator whose key is accepted can "
                                 "add its hash under operators/NAME/key_hashes"
                               : "there are no settings yet; use the bootstrap key whose hash "
                                 "is in the instance's local settings");
}

} // namespace snipestall::admin
