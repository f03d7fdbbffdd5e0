#pragma once

#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"
#include "snipestall/wire/task.hpp"

#include <functional>
#include <string>

namespace snipestall::wire {

/// One request on a listener and the means to respond to it: either respond(), or beginStream(),
/// then any number of write() calls, then finish(). A write that fails throws
/// boost::system::system_error, which the server treats as a connection closed by the peer.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest &request() const = 0;
    /// Sends a complete response.
    virtual Task<void> respond(HttpResponse response) = 0;
    /// Sends status and fields of a response whose body follows in chunks.
    virtual Task<void> beginStream(HttpResponse head) = 0;
    /// Sends one chunk of the body; does nothing if it is empty.
    virtual Task<void> write(std::string chunk) = 0;
    /// Sends the end of the body.
    virtual Task<void> finish() = 0;
    /// Closes the connection without the end of the body, so that the peer can tell that the
    /// response is incomplete.
    virtual void abort() = 0;
    /// Sets a callback that runs once if the peer closes the connection while the handler runs.
    virtual void onPeerClosed(std::function<void()> callback) = 0;
};

} // namespace snipestall::wire
