// Program that runs a server which answers each request with a message of which one part doesn't
// end: the head, a field, interim answers, a chunk's extension, the body, an event, or a trailer.

#include "common/program.hpp"

#include "snipestall/base/random.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gflags/gflags.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on");
DEFINE_uint64(bytes, 1 << 20, "bytes that it sends on a connection before it closes it");
DEFINE_uint64(seed, 1, "seed by which the part is drawn that doesn't end");

using namespace snipestall;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PieceBytes = std::size_t(64) << 10U;

/// What is sent once, and what is repeated then.
struct Answer
{
    std::string start;
    std::string rest;
};

std::string attemptOf(const std::string &request)
{
    constexpr std::string_view Field = "X-Attempt-Id: ";
    const std::size_t at = request.find(Field);
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + Field.size();
    return request.substr(from, request.find('\r', from) - from);
}

Answer drawAnswer(Random &random, const std::string &attempt)
{
    const std::string filler(PieceBytes, 'a');
    const std::string fields = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Server-Seal: raw." + attempt + "\r\n";
    const std::string chunked = fields + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string events =
        fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::array<Answer, 8> answers { {
        { fields + "X-Note: ", filler },
        { fields, "X-Note: short\r\n" },
        { {}, "HTTP/1.1 100 Continue\r\n\r\n" },
        { chunked + "5;name=", filler },
        { chunked + "5\r\nhello\r\n0\r\nX-Note: ", filler },
        { chunked + "5\r\nhello\r\n0\r\n", "X-Note: short\r\n" },
        { chunked, "10000\r\n" + filler + "\r\n" },
        { events + "9\r\nid: 1\ndat\r\n", "10000\r\n" + filler + "\r\n" },
    } };
    return answers.at(random.below(answers.size()));
}

asio::awaitable<void> serve(tcp::socket socket, Random &random)
{
    std::string request;
    const auto [readError, size] = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n", UseTuple);
    if (readError)
        co_return;
    Answer answer = drawAnswer(random, attemptOf(request));
    // Short lines are sent many at a time.
    while (answer.rest.size() < PieceBytes)
        answer.rest += std::string(answer.rest);
    co_await asio::async_write(socket, asio::buffer(answer.start), UseTuple);
    for (std::size_t sent = 0; sent < FLAGS_bytes; sent += answer.rest.size()) {
        const auto [error, written] =
            co_await asio::async_write(socket, asio::buffer(answer.rest), UseTuple);
        if (error)
            co_return;
    }
}

asio::awaitable<void> accept(tcp::acceptor &acceptor, Random &random)
{
    while (true) {
        auto [error, socket] = co_await acceptor.async_accept(UseTuple);
        if (error)
            co_return;
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serve(std::move(socket), random), asio::detached);
    }
}

} // namespace

int main(int argc, char **argv)
{
    standins::parseFlags(argc, argv, "server that answers without end");
    asio::io_context io(1);
    const wire::Endpoint listen = standins::endpointOrExit(FLAGS_listen);
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address(listen.host), listen.port));
    Random random(FLAGS_seed);
    asio::co_spawn(io, accept(acceptor, random), asio::detached);
    standins::runUntilSignal(io, [&io] { io.stop(); });
    return 0;
}
