#include "snipestall/wire/message_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

namespace snipestall::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadBytes = 4096;

} // namespace

template<bool IsRequest>
Task<boost::system::error_code> readMessage(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                            MessageParser<IsRequest> &parser)
{
    while (true) {
        boost::system::error_code parsed = parser.feed(buffer);
        if (parsed != http::error::need_more)
            co_return parsed;
        auto [error, bytes] = co_await stream.async_read_some(buffer.prepare(ReadBytes), UseTuple);
        if (error == asio::error::eof) {
            if (!parser.got_some())
                co_return http::make_error_code(http::error::end_of_stream);
            parser.put_eof(parsed);
            co_return parsed;
        }
        if (error)
            co_return error;
        buffer.commit(bytes);
    }
}

template Task<boost::system::error_code> readMessage(beast::tcp_stream &, beast::flat_buffer &,
                                                     MessageParser<true> &);
template Task<boost::system::error_code> readMessage(beast::tcp_stream &, beast::flat_buffer &,
                                                     MessageParser<false> &);

} // namespace snipestall::wire
