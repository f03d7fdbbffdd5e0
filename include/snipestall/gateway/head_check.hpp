#pragma once

#include <boost/beast/http/message.hpp>

#include <optional>

namespace snipestall::platform {
struct CallerHeader;
} // namespace snipestall::platform

namespace snipestall::serving {
class Catalogue;
struct Customer;
struct Route;
} // namespace snipestall::serving

namespace snipestall::gateway {

/// Why a request is refused whatever its body is.
struct HeadRefusal
{
    unsigned status = 0;
    const char *reason = "";
};

/// What a configuration says of the head of a request.
struct HeadMatch
{
    const serving::Route *route = nullptr;
    const serving::Customer *customer = nullptr;
    std::optional<HeadRefusal> refusal;
};

HeadMatch matchHead(const serving::Catalogue &catalogue, const platform::CallerHeader &header,
                    const boost::beast::http::request_header<> &request);

} // namespace snipestall::gateway
