#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipestall::wire {

class HttpExchange;

/// Certificate and key in PEM files; reloaded when a file's time stamp changes.
struct TlsFiles
{
    std::string certificate;
    std::string privateKey;
};

struct HttpServerOptions
{
    /// Larger bodies are answered with 413 before they are read. Bytes.
    std::uint64_t maxBody = 4ULL * 1024 * 1024;
    std::optional<TlsFiles> tls;
};

/// HTTP/1.1 listener on the loop's own thread; one coroutine a connection.
class HttpServer
{
public:
    using Handler = std::function<Task<void>(HttpExchange &)>;

    /// Opens the listener; Unavailable with the address in the message if that fails.
    static Result<std::unique_ptr<HttpServer>> create(boost::asio::io_context &io,
                                                      const Endpoint &endpoint, Handler handler,
                                                      HttpServerOptions options = {});
    ~HttpServer();

    /// The real port, when 0 was asked for.
    [[nodiscard]] Endpoint endpoint() const;
    /// Takes no new connections; each open one closes after its present exchange.
    void stopAccepting();
    /// Open connections, idle ones included.
    [[nodiscard]] std::size_t connections() const;

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::wire
