#include "soak/store_rows.hpp"

#include "harness/http_call.hpp"
#include "snipestall/wire/http_request.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>

namespace snipestall::soak {

namespace {

namespace coding = boost::beast::detail::base64;
namespace json = boost::json;

/// A store that does not answer blocks the clients of this run for at most this long.
constexpr std::chrono::milliseconds StoreTimeout { 300 };

std::string toBase64(const std::string &text)
{
    std::string out(coding::encoded_size(text.size()), '\0');
    out.resize(coding::encode(out.data(), text.data(), text.size()));
    return out;
}

std::string fromBase64(const std::string &text)
{
    std::string out(coding::decoded_size(text.size()), '\0');
    out.resize(coding::decode(out.data(), text.data(), text.size()).first);
    return out;
}

} // namespace

bool putOperatorRow(const wire::Endpoint &store, const std::string &key, const std::string &value)
{
    const json::object row {
        { "tableName", "op" }, { "part", "" }, { "key", key }, { "value", toBase64(value) }
    };
    const json::object change { { "expectedRevision", json::array() },
                                { "remove", json::array() },
                                { "putEntry", json::array { row } } };
    wire::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/rows-tx";
    request.body = json::serialize(change);
    const auto answer = harness::httpCall(store, std::move(request), StoreTimeout);
    return answer && answer->status == 200;
}

std::string statusRow(const wire::Endpoint &store, const std::string &key)
{
    wire::HttpRequest request;
    request.method = "GET";
    request.target = "/v1/rows-get?tableName=status&part=";
    const auto answer = harness::httpCall(store, std::move(request), StoreTimeout);
    if (!answer || answer->status != 200)
        return {};
    boost::system::error_code error;
    const json::value document = json::parse(answer->body, error);
    if (error)
        return {};
    for (const json::value &row : document.at("rows").as_array()) {
        if (row.at("key").as_string() == key)
            return fromBase64(std::string(row.at("value").as_string()));
    }
    return {};
}

} // namespace snipestall::soak
