#include "soak/raw_connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cmath>
#include <cstdlib>

namespace snipestall::soak {

using namespace std::chrono_literals;
using wire::Task;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto ConnectTimeout = 1s;
/// A gateway may leave what it doesn't want in the connection unread.
constexpr auto WriteTimeout = 2s;
/// Longer than a request may stay unanswered.
constexpr auto AnswerTimeout = 6s;

} // namespace

RawConnection::RawConnection(asio::io_context &io)
    : m_stream(io)
{ }

Task<bool> RawConnection::open(wire::Endpoint gateway)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(gateway.host), gateway.port);
    m_stream.expires_after(ConnectTimeout);
    const auto [error] = co_await m_stream.async_connect(endpoint, UseTuple);
    co_return !error;
}

Task<bool> RawConnection::write(std::string bytes)
{
    m_stream.expires_after(WriteTimeout);
    const auto [error, size] = co_await asio::async_write(m_stream, asio::buffer(bytes), UseTuple);
    co_return !error;
}

Task<bool> RawConnection::writeUpTo(std::size_t size, std::string bytes)
{
    for (std::size_t written = 0; written < size; written += bytes.size()) {
        if (!co_await write(bytes))
            co_return false;
    }
    co_return true;
}

Task<bool> RawConnection::read(Attempt &attempt)
{
    http::response<http::string_body> answer;
    m_stream.expires_after(AnswerTimeout);
    const auto [error, size] = co_await http::async_read(m_stream, m_buffer, answer, UseTuple);
    attempt.ended = std::chrono::steady_clock::now();
    if (error)
        co_return false;
    attempt.status = static_cast<int>(answer.result_int());
    attempt.complete = true;
    attempt.body = answer.body();
    attempt.seal = std::string(answer["X-Server-Seal"]);
    attempt.echoedId = std::string(answer["X-Attempt-Id"]);
    const std::string retryAfter(answer["Retry-After"]);
    attempt.hasRetryAfter = !retryAfter.empty();
    attempt.retryAfter =
        std::chrono::milliseconds(std::lround(std::atof(retryAfter.c_str()) * 1000));
    co_return true;
}

void RawConnection::close()
{
    m_stream.close();
}

std::string headOf(const Attempt &attempt)
{
    return attempt.method + " " + attempt.target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: "
        + attempt.id + "\r\nX-Deadline-Ms: 3500\r\nAuthorization: Bearer secret\r\n";
}

} // namespace snipestall::soak
