#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace snipestall::wire {

/// A body, in the sense of Beast, that several messages share: a request as its caller sent it, and
/// each attempt at a server. Copies would take the memory of the body once more for each attempt.
struct SharedBody
{
    // The names are those that Beast asks for.
    // NOLINTBEGIN(readability-identifier-naming)
    using value_type = std::shared_ptr<const std::string>;

    static std::uint64_t size(const value_type &body) { return body ? body->size() : 0; }

    class writer
    {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template<bool IsRequest, typename Fields>
        writer(const boost::beast::http::header<IsRequest, Fields> & /*head*/,
               const value_type &body)
            : m_body(body)
        { }

        void init(boost::system::error_code &error) { error = {}; }
        boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code &error)
        {
            error = {};
            const bool more = false;
            return std::pair(m_body ? boost::asio::buffer(*m_body) : const_buffers_type(), more);
        }

    private:
        const value_type &m_body;
    };
    // NOLINTEND(readability-identifier-naming)
};

} // namespace snipestall::wire
