#pragma once

#include "snipestall/wire/framing_budget.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace snipestall::wire {

/// Parses one HTTP/1.1 message whose peer is not trusted.
///
/// Failures it guards against, which Beast's own parser doesn't: framing without end (see
/// FramingBudget); a field that is too long for the container of the head (an error here, an
/// exception there); trailer fields that pass for fields of the head (they are dropped here); a
/// head of thousands of fields, each of which is compared with the others; in a response, a status
/// below 100, which passes for an interim response there, and a line that begins with a blank,
/// which changes the value of the field before it there.
template<bool IsRequest>
class MessageParser final : public boost::beast::http::basic_parser<IsRequest>
{
public:
    using Head = boost::beast::http::header<IsRequest>;

    /// Parses the bytes of the buffer and removes them from it, up to the end of the head or of the
    /// message. Returns need_more if neither the head nor a byte of the body is complete.
    boost::system::error_code feed(boost::beast::flat_buffer &buffer);

    [[nodiscard]] const Head &head() const { return m_head; }
    [[nodiscard]] Head takeHead() { return std::move(m_head); }
    /// Removes the bytes of the body that have been parsed so far, and returns them.
    [[nodiscard]] std::string takeBody();

private:
    using ErrorCode = boost::system::error_code;
    using Text = boost::beast::string_view;

    ErrorCode parseStep(boost::beast::flat_buffer &buffer);

    void on_request_impl(boost::beast::http::verb method, Text methodText, Text target, int version,
                         ErrorCode &error) override;
    void on_response_impl(int status, Text reason, int version, ErrorCode &error) override;
    void on_field_impl(boost::beast::http::field name, Text nameText, Text value,
                       ErrorCode &error) override;
    void on_header_impl(ErrorCode &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &error) override;
    std::size_t on_body_impl(Text bytes, ErrorCode &error) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t left, Text bytes, ErrorCode &error) override;
    void on_finish_impl(ErrorCode &error) override;

    Head m_head;
    std::string m_body;
    FramingBudget m_framing;
    std::size_t m_fields = 0;
    /// A fault that follows bytes of the body that are still to be taken.
    ErrorCode m_fault;
};

extern template class MessageParser<true>;
extern template class MessageParser<false>;

} // namespace snipestall::wire
