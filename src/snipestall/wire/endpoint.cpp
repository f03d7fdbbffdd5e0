#include "snipestall/wire/endpoint.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace snipestall::wire {

namespace {

tl::unexpected<Error> badEndpoint(std::string_view text)
{
    return fail(ErrorKind::InvalidArgument,
                "'" + std::string(text)
                    + "' is not an address; write IP:PORT, such as 127.0.0.1:8080");
}

} // namespace

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return badEndpoint(text);
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    Endpoint endpoint;
    const char *end = port.data() + port.size();
    const auto [stop, code] = std::from_chars(port.data(), end, endpoint.port);
    if (code != std::errc {} || stop != end)
        return badEndpoint(text);
    boost::system::error_code ignored;
    boost::asio::ip::make_address(std::string(host), ignored);
    if (ignored)
        return badEndpoint(text);
    endpoint.host = std::string(host);
    return endpoint;
}

std::string Endpoint::toString() const
{
    const bool v6 = host.find(':') != std::string::npos;
    return (v6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

} // namespace snipestall::wire
