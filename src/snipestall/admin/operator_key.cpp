#include "snipestall/admin/operator_key.hpp"

#include "snipestall/settings/sha256.hpp"

#include <boost/beast/core/string.hpp>
#include <openssl/crypto.h>

namespace snipestall::admin {
namespace {

bool sameHash(const std::string &a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

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

std::optional<std::string>
holderOfKey(const std::map<std::string, std::string, std::less<>> &holderByHash,
            std::string_view key)
{
    const std::string hash = settings::sha256Hex(key);
    const std::string *holder = nullptr;
    for (const auto &[known, name] : holderByHash) {
        if (sameHash(hash, known))
            holder = &name;
    }
    return holder ? std::optional(*holder) : std::nullopt;
}

bool keyHasHash(std::string_view key, std::string_view hash)
{
    return sameHash(settings::sha256Hex(key), hash);
}

} // namespace snipestall::admin
