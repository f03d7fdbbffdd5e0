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

/// The key of "Authorization: Bearer KEY"; nothing if there is none.
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

// An instance that has just started knows no settings yet, although there are some. If it took the
// bootstrap key then, that key, meant for the first minute, would open every restarted instance for
// ever. So the table is asked first, and without its answer nobody is let in.
wire::Task<Result<bool>> OperatorAuth::haveSettings()
{
    if (m_keeper.effective())
        co_return true;
    const auto head = co_await m_store.head();
    if (!head)
        co_return fail(ErrorKind::Unavailable,
                       "this instance has no settings yet and can't read the platform's table to "
                       "check your key; try again or ask another instance");
    if (head->version == 0)
        co_return false;
    m_keeper.offer(*head);
    if (m_keeper.effective())
        co_return true;
    co_return fail(ErrorKind::Unavailable,
                   "the settings in the table could not be put in force here; see event 201 in "
                   "this instance's log, or ask another instance");
}

wire::Task<Result<std::string>> OperatorAuth::operatorOf(const wire::HttpRequest &request)
{
    const auto key = bearerKey(request);
    if (!key)
        co_return fail(ErrorKind::Unauthenticated,
                       "give an operator's key: Authorization: Bearer KEY");
    const auto configured = co_await haveSettings();
    if (!configured)
        co_return tl::unexpected<Error>(configured.error());
    if (!*configured && settings::keyHasHash(*key, m_bootstrapKeyHash))
        co_return std::string(BootstrapOperator);
    if (*configured) {
        if (auto name = settings::holderOfKey(m_keeper.effective()->operatorByKeyHash, *key))
            co_return std::move(*name);
    }
    co_return fail(ErrorKind::Unauthenticated,
                   *configured ? "no operator has this key; ask one whose key is accepted to add "
                                 "its hash under operators/NAME/key_hashes"
                               : "there are no settings yet; use the bootstrap key whose hash "
                                 "stands in the instance's local settings");
}

} // namespace snipestall::admin
