#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>

namespace snipestall::wire {

void HttpFields::set(std::string_view name, std::string value)
{
    for (auto &field : m_fields) {
        if (boost::beast::iequals(field.first, name)) {
            field.second = std::move(value);
            return;
        }
    }
    m_fields.emplace_back(std::string(name), std::move(value));
}

std::optional<std::string> HttpFields::find(std::string_view name) const
{
    for (const auto &field : m_fields) {
        if (boost::beast::iequals(field.first, name))
            return field.second;
    }
    return std::nullopt;
}

std::string_view HttpRequest::path() const
{
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
}

std::string HttpRequest::query(std::string_view name) const
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
        return {};
    for (const auto &parameter : url->params()) {
        if (parameter.key == name)
            return parameter.value;
    }
    return {};
}

HttpResponse HttpResponse::json(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.fields.set("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace snipestall::wire
