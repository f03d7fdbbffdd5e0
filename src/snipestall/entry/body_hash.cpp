#include "body_hash.hpp"

#include <openssl/sha.h>

#include <array>

namespace snipestall::entry {

std::string bodyHash(std::string_view bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr unsigned LowNibble = 0xf;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        hex.push_back(Digits[byte >> 4U]);
        hex.push_back(Digits[byte & LowNibble]);
    }
    return hex;
}

} // namespace snipestall::entry
