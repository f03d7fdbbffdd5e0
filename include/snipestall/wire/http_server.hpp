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

/// Paths of the PEM files with the certificate and the private key. The files are reloaded when
/// their modification time changes.
struct TlsFiles
{
    std::string certificate;
    std::string privateKey;
};

/// Limits and TLS files of a listener.
struct HttpServerOptions
{
    /// Maximum size of a request body in bytes; a request with a larger body is answered with 413
    /// before the body is read.
    std::uint64_t maxBody = 4ULL * 1024 * 1024;
    std::optional<TlsFiles> tls;
    /// Maximum number of connections; 0 for any number. Beyond it, the connection that has waited
    /// for longest for a whole request is closed for a new one.
    std::size_t connectionLimit = 0;
};

/// HTTP/1.1 listener that runs one coroutine per connection on the thread of the I/O loop.
class HttpServer
{
public:
    /// Responds to one exchange. An exchange that it leaves unfinished is aborted.
    using Handler = std::function<Task<void>(HttpExchange &)>;

    /// Opens the listener. Fails with Unavailable, with the address in the message.
    static Result<std::unique_ptr<HttpServer>> create(boost::asio::io_context &io,
                                                      const Endpoint &endpoint, Handler handler,
                                                      HttpServerOptions options = {});
    ~HttpServer();

    /// The address that the server listens on, with the assigned port if port 0 was requested.
    [[nodiscard]] Endpoint endpoint() const;
    /// Stops accepting connections; each open one closes after its current exchange.
    void stopAccepting();
    /// Number of open connections, including idle ones.
    [[nodiscard]] std::size_t connections() const;

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::wire
