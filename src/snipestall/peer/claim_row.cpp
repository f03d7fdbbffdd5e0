#include "snipestall/peer/claim_row.hpp"

#include "snipestall/base/exception.hpp"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <array>
#include <utility>

namespace snipestall::peer {

namespace json = boost::json;

namespace {

constexpr std::string_view ClaimTable = "claims";
constexpr std::array<std::string_view, 3> StateNames { "claimed", "done", "abandoned" };

/// Joins the parts of a key, each preceded by its length, so that different keys never give the
/// same bytes, whatever characters they contain.
std::string lengthPrefixed(const ClaimKey &key)
{
    std::string all;
    for (const std::string *part : { &key.customer, &key.service, &key.idempotencyKey })
        all += std::to_string(part->size()) + ':' + *part;
    return all;
}

std::string sha256Hex(const std::string &bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw Exception({ ErrorKind::Internal, "SHA-256 failed; check the OpenSSL installation" });
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += Digits[digest[i] >> 4U];
        hex += Digits[digest[i] & 15U];
    }
    return hex;
}

/// Response bodies may contain any bytes, JSON strings may not.
std::string toBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string fromBase64(const std::string &text, std::size_t size)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    const int decoded = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    if (decoded < 0 || static_cast<std::size_t>(decoded) < size)
        throw std::invalid_argument("the stored body is not valid base64");
    bytes.resize(size);
    return bytes;
}

json::object toJson(const StoredOutcome &outcome)
{
    const bool tooLong = outcome.body.size() > MaxStoredBody;
    json::object object;
    object["status"] = outcome.status;
    object["type"] = outcome.contentType;
    object["outcome"] = outcome.outcome;
    object["size"] = tooLong ? 0 : outcome.body.size();
    object["body"] = tooLong ? std::string() : toBase64(outcome.body);
    object["body_dropped"] = outcome.bodyDropped || tooLong;
    return object;
}

StoredOutcome decodeOutcome(const json::object &object)
{
    StoredOutcome outcome;
    outcome.status = object.at("status").to_number<int>();
    outcome.contentType = std::string(object.at("type").as_string());
    outcome.outcome = std::string(object.at("outcome").as_string());
    outcome.body = fromBase64(std::string(object.at("body").as_string()),
                              object.at("size").to_number<std::size_t>());
    outcome.bodyDropped = object.at("body_dropped").as_bool();
    return outcome;
}

ClaimState parseState(std::string_view name)
{
    for (std::size_t i = 0; i < StateNames.size(); ++i) {
        if (StateNames.at(i) == name)
            return static_cast<ClaimState>(i);
    }
    throw std::invalid_argument("unknown claim state");
}

ClaimRow decodeRow(const json::object &object)
{
    ClaimRow row;
    row.request = std::string(object.at("request").as_string());
    row.attempt = std::string(object.at("attempt").as_string());
    row.token = std::string(object.at("token").as_string());
    row.bodyHash = std::string(object.at("body").as_string());
    row.hour = std::string(object.at("hour").as_string());
    row.state = parseState(object.at("state").as_string());
    const auto *outcome = object.if_contains("outcome");
    if (outcome != nullptr)
        row.outcome = decodeOutcome(outcome->as_object());
    return row;
}

Error damagedRow(const platform::Row &row, const std::exception &cause)
{
    return { ErrorKind::Internal,
             "can't decode row " + row.key.table + "/" + row.key.key + ": " + cause.what()
                 + "; inspect it in the platform's table" };
}

} // namespace

platform::RowKey claimRowKey(const ClaimKey &key)
{
    return { std::string(ClaimTable), sha256Hex(lengthPrefixed(key)) };
}

std::string encodeClaim(const ClaimRow &row)
{
    json::object object;
    object["request"] = row.request;
    object["attempt"] = row.attempt;
    object["token"] = row.token;
    object["body"] = row.bodyHash;
    object["hour"] = row.hour;
    object["state"] = StateNames.at(static_cast<std::size_t>(row.state));
    if (row.outcome)
        object["outcome"] = toJson(*row.outcome);
    return json::serialize(object);
}

Result<ClaimRow> decodeClaim(const platform::Row &row)
{
    try {
        return decodeRow(json::parse(row.value).as_object());
    } catch (const std::exception &cause) {
        return tl::unexpected<Error>(damagedRow(row, cause));
    }
}

ClaimOutcome heldBy(ClaimRow row)
{
    ClaimOutcome outcome;
    outcome.verdict = ClaimVerdict::Held;
    outcome.holderRequest = std::move(row.request);
    outcome.holderAttempt = std::move(row.attempt);
    outcome.bodyHash = std::move(row.bodyHash);
    outcome.outcome = std::move(row.outcome);
    return outcome;
}

std::string claimHour(std::chrono::system_clock::time_point at)
{
    const auto hours = std::chrono::floor<std::chrono::hours>(at).time_since_epoch().count();
    std::string digits = std::to_string(hours);
    constexpr std::size_t Width = 8;
    return digits.size() < Width ? std::string(Width - digits.size(), '0') + digits : digits;
}

platform::RowKey claimBatchKey(std::chrono::system_clock::time_point at, const std::string &batch)
{
    return { std::string(ClaimBatchTable), claimHour(at) + "/" + batch };
}

std::string encodeBatch(const std::vector<platform::RowKey> &claims)
{
    json::array names;
    for (const platform::RowKey &claim : claims)
        names.emplace_back(claim.key);
    return json::serialize(names);
}

Result<std::vector<platform::RowKey>> decodeBatch(const platform::Row &row)
{
    try {
        std::vector<platform::RowKey> claims;
        const json::value parsed = json::parse(row.value);
        for (const json::value &name : parsed.as_array())
            claims.push_back({ std::string(ClaimTable), std::string(name.as_string()) });
        return claims;
    } catch (const std::exception &cause) {
        return tl::unexpected<Error>(damagedRow(row, cause));
    }
}

} // namespace snipestall::peer
