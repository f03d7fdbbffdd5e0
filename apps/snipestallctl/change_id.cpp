#include "change_id.hpp"

#include "snipestall/base/exception.hpp"

#include <openssl/rand.h>

#include <vector>

namespace snipestall::ctl {
namespace {

constexpr std::size_t IdBytes = 16;
constexpr std::size_t KeyBytes = 32;

std::string randomHex(std::size_t size)
{
    constexpr const char *Digits = "0123456789abcdef";
    std::vector<unsigned char> bytes(size);
    if (RAND_bytes(bytes.data(), static_cast<int>(size)) != 1)
        throw Exception({ ErrorKind::Internal,
                          "OpenSSL could not generate random numbers; check its installation" });
    std::string text;
    for (const unsigned char byte : bytes) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 0xFU];
    }
    return text;
}

} // namespace

std::string newChangeId()
{
    return randomHex(IdBytes);
}

std::string newKey()
{
    return randomHex(KeyBytes);
}

} // namespace snipestall::ctl
