#include "snipestall/settings/sha256.hpp"

#include "snipestall/base/exception.hpp"

#include <openssl/evp.h>

#include <array>

namespace snipestall::settings {

std::string sha256Hex(std::string_view bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw Exception(
            { ErrorKind::Internal, "SHA-256 is not available; check the OpenSSL installation" });
    std::string text;
    for (unsigned int i = 0; i < size; ++i) {
        text += Digits[digest[i] >> 4U];
        text += Digits[digest[i] & 0xFU];
    }
    return text;
}

} // namespace snipestall::settings
