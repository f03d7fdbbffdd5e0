#pragma once

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

namespace snipestall::wire {

/// Returns whether an answer with this status has no body by definition. Its fields say nothing of
/// its length.
inline bool isBodyless(unsigned status)
{
    namespace http = boost::beast::http;
    return http::to_status_class(status) == http::status_class::informational
        || status == static_cast<unsigned>(http::status::no_content)
        || status == static_cast<unsigned>(http::status::not_modified);
}

/// Returns whether the answer to a request with this method has a body. One without a body ends
/// with its head: bytes behind it would be taken for the next answer.
inline bool hasBody(boost::beast::http::verb method, unsigned status)
{
    return method != boost::beast::http::verb::head && !isBodyless(status);
}

/// Removes the fields that say where the body of an answer ends from the head of one that has none.
/// The answer to HEAD keeps the length that the answer to GET has.
inline void eraseBodyFields(unsigned status, boost::beast::http::fields &fields)
{
    fields.erase(boost::beast::http::field::transfer_encoding);
    if (isBodyless(status))
        fields.erase(boost::beast::http::field::content_length);
}

} // namespace snipestall::wire
