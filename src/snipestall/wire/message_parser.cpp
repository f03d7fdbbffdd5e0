#include "snipestall/wire/message_parser.hpp"

#include <boost/beast/http/error.hpp>

#include <limits>
#include <utility>

namespace snipestall::wire {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// The container of the head holds lengths of names and values, each with two bytes of separators,
/// in 16 bits, and throws if they are longer.
constexpr std::size_t MaxFieldBytes = std::numeric_limits<std::uint16_t>::max() - 2;
constexpr std::size_t MaxFields = 500;
/// A lower number is no status; it would pass for an interim response.
constexpr int MinStatus = 100;

/// Whether a line of the head continues the one before it.
bool hasFoldedLine(beast::string_view head)
{
    return head.find("\n ") != beast::string_view::npos
        || head.find("\n\t") != beast::string_view::npos;
}

} // namespace

template<bool IsRequest>
boost::system::error_code MessageParser<IsRequest>::feed(beast::flat_buffer &buffer)
{
    if (m_fault)
        return m_fault;
    const bool headWasDone = this->is_header_done();
    while (!this->is_done()) {
        const ErrorCode error =
            buffer.size() > 0 ? parseStep(buffer) : ErrorCode(http::error::need_more);
        // Nobody asks for a fault behind the end of a message.
        if (error && (m_body.empty() || this->is_done()))
            return error;
        if (error && error != http::error::need_more)
            m_fault = error;
        if (error)
            return {};
        if (!headWasDone && this->is_header_done())
            break;
    }
    return {};
}

template<bool IsRequest>
boost::system::error_code MessageParser<IsRequest>::parseStep(beast::flat_buffer &buffer)
{
    const bool inHead = !this->is_header_done();
    const std::size_t bodyBefore = m_body.size();
    ErrorCode error;
    const std::size_t used = this->put(buffer.data(), error);
    if constexpr (!IsRequest) {
        const Text read(static_cast<const char *>(buffer.data().data()), used);
        if (inHead && !error && hasFoldedLine(read))
            error = http::error::bad_obs_fold;
    }
    buffer.consume(used);
    if (inHead)
        return error;
    const std::size_t body = m_body.size() - bodyBefore;
    m_framing.addBody(body);
    m_framing.addFraming(used - body);
    const std::size_t pending = error == http::error::need_more ? buffer.size() : 0;
    if (m_framing.isExceeded(pending))
        error = http::error::header_limit;
    return error;
}

template<bool IsRequest>
std::string MessageParser<IsRequest>::takeBody()
{
    return std::exchange(m_body, {});
}

template<bool IsRequest>
void MessageParser<IsRequest>::on_request_impl(http::verb method, Text methodText, Text target,
                                               int version, ErrorCode & /*error*/)
{
    if constexpr (IsRequest) {
        if (method == http::verb::unknown)
            m_head.method_string(methodText);
        else
            m_head.method(method);
        m_head.target(target);
        m_head.version(version);
    }
}

template<bool IsRequest>
void MessageParser<IsRequest>::on_response_impl(int status, Text reason, int version,
                                                ErrorCode &error)
{
    if constexpr (!IsRequest) {
        if (status < MinStatus)
            error = http::error::bad_status;
        m_head.result(static_cast<unsigned>(status));
        m_head.version(version);
        m_head.reason(reason);
    }
}

template<bool IsRequest>
void MessageParser<IsRequest>::on_field_impl(http::field name, Text nameText, Text value,
                                             ErrorCode &error)
{
    if (this->is_header_done())
        return;
    if (++m_fields > MaxFields || nameText.size() > MaxFieldBytes || value.size() > MaxFieldBytes)
        error = http::error::header_limit;
    else
        m_head.insert(name, nameText, value);
}

template<bool IsRequest>
void MessageParser<IsRequest>::on_header_impl(ErrorCode & /*error*/)
{ }

template<bool IsRequest>
void MessageParser<IsRequest>::on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                                                 ErrorCode & /*error*/)
{ }

template<bool IsRequest>
std::size_t MessageParser<IsRequest>::on_body_impl(Text bytes, ErrorCode & /*error*/)
{
    m_body.append(bytes.data(), bytes.size());
    return bytes.size();
}

template<bool IsRequest>
void MessageParser<IsRequest>::on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/,
                                                    ErrorCode & /*error*/)
{ }

template<bool IsRequest>
std::size_t MessageParser<IsRequest>::on_chunk_body_impl(std::uint64_t /*left*/, Text bytes,
                                                         ErrorCode & /*error*/)
{
    m_body.append(bytes.data(), bytes.size());
    return bytes.size();
}

template<bool IsRequest>
void MessageParser<IsRequest>::on_finish_impl(ErrorCode & /*error*/)
{ }

template class MessageParser<true>;
template class MessageParser<false>;

} // namespace snipestall::wire
