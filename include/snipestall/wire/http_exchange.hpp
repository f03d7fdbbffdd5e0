#pragma once

#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"
#include "snipestall/wire/task.hpp"

#include <functional>
#include <string>

namespace snipestall::wire {

/// One request on a listener and the way to answer it: either respond(), or beginStream(), write()
/// any number of times, finish(). A write that fails throws boost::system::system_error, which the
/// server takes as the peer's hanging up.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest &request() const = 0;
    virtual Task<void> respond(HttpResponse response) = 0;
    virtual Task<void> beginStream(HttpResponse head) = 0;
    virtual Task<void> write(std::string chunk) = 0;
    virtual Task<void> finish() = 0;
    /// Closes the connection without a proper end, so that the peer sees a cut answer as cut.
    virtual void abort() = 0;
    /// Runs once if the peer hangs up while the handler is at work.
    virtual void onPeerClosed(std::function<void()> callback) = 0;
};

} // namespace snipestall::wire
