#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <string>

namespace snipestall::harness {

/// One HTTP call, done when it returns.
Result<wire::HttpResponse> httpCall(const wire::Endpoint &endpoint, wire::HttpRequest request,
                                    std::chrono::milliseconds limit = std::chrono::seconds(20));
Result<wire::HttpResponse> httpGet(const wire::Endpoint &endpoint, const std::string &target);
Result<wire::HttpResponse> httpPost(const wire::Endpoint &endpoint, const std::string &target,
                                    const std::string &body);

/// The JSON object that a GET answers with 200; an empty one otherwise.
boost::json::object httpGetObject(const wire::Endpoint &endpoint, const std::string &target);

/// A number of such an object; 0 if absent.
std::int64_t numberOf(const boost::json::object &object, const std::string &name);

} // namespace snipestall::harness
