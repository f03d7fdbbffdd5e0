#include "snipestall/settings/key_holder.hpp"

#include "snipestall/settings/sha256.hpp"

#include <openssl/crypto.h>

namespace snipestall::settings {
namespace {

bool hashesEqual(const std::string &a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::optional<std::string>
holderOfKey(const std::map<std::string, std::string, std::less<>> &holderByHash,
            std::string_view key)
{
    const std::string hash = sha256Hex(key);
    const std::string *holder = nullptr;
    for (const auto &[known, name] : holderByHash) {
        if (hashesEqual(hash, known))
            holder = &name;
    }
    return holder ? std::optional(*holder) : std::nullopt;
}

bool keyHasHash(std::string_view key, std::string_view hash)
{
    return hashesEqual(sha256Hex(key), hash);
}

} // namespace snipestall::settings
