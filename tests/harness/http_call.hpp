#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <string>

namespace snipestall::harness {

/// Sends one HTTP request and blocks until its response is complete. Fails if the response takes
/// longer than `limit`.
Result<wire::HttpResponse> httpCall(const wire::Endpoint &endpoint, wire::HttpRequest request,
                                    std::chrono::milliseconds limit = std::chrono::seconds(20));
Result<wire::HttpResponse> httpGet(const wire::Endpoint &endpoint, const std::string &target);
Result<wire::HttpResponse> httpPost(const wire::Endpoint &endpoint, const std::string &target,
                                    const std::string &body);

/// Returns the JSON object of a GET that is answered with 200; an empty object otherwise.
boost::json::object httpGetObject(const wire::Endpoint &endpoint, const std::string &target);

/// Returns the number under a name of a JSON object; 0 if it is absent.
std::int64_t numberOf(const boost::json::object &object, const std::string &name);

} // namespace snipestall::harness
