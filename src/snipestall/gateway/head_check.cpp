#include "snipestall/gateway/head_check.hpp"

#include "platform/caller_header.hpp"
#include "snipestall/serving/catalogue.hpp"
#include "snipestall/serving/route.hpp"

#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace snipestall::gateway {

namespace http = boost::beast::http;

namespace {

std::string hostOf(const http::request_header<> &request)
{
    const auto field = request[http::field::host];
    std::string host(field.data(), field.size());
    // The port is not part of the host name.
    host = host.substr(0, host.find(':'));
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

std::string_view pathOf(const http::request_header<> &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

} // namespace

HeadMatch matchHead(const serving::Catalogue &catalogue, const platform::CallerHeader &header,
                    const http::request_header<> &request)
{
    HeadMatch match;
    if (header.attemptId.empty()) {
        match.refusal = HeadRefusal { 400, "no-attempt-id" };
        return match;
    }
    match.route = catalogue.route(hostOf(request), pathOf(request));
    if (match.route == nullptr) {
        match.refusal = HeadRefusal { 404, "no-route" };
        return match;
    }
    match.customer = catalogue.customerOfKey(header.apiKey);
    if (match.customer == nullptr && catalogue.hasCustomers() && !match.route->anonymous)
        match.refusal = HeadRefusal { 401, "unknown-key" };
    return match;
}

} // namespace snipestall::gateway
