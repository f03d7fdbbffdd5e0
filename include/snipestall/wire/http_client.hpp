#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace snipestall::wire {

class HttpStream;

/// Timeouts and conditions of one HTTP call.
struct HttpCallOptions
{
    std::chrono::milliseconds connectTimeout { 1000 };
    /// Longest time for sending the request, and for waiting for the next bytes of the response.
    std::chrono::milliseconds idleTimeout { 10000 };
    /// Opens a new connection instead of reusing an idle one. Calls that must not be repeated need
    /// this, because a reused connection that the server has just closed leaves the outcome
    /// unknown.
    bool freshConnection = false;
    /// Called right before the first byte is written; if it returns false, the call fails with
    /// Unavailable.
    std::function<bool()> beforeSend;
};

/// HTTP/1.1 client. Unavailable means that no byte was sent; OutcomeUnknown and DeadlineExceeded
/// mean that the server may have run the request.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io);
    ~HttpClient();

    /// Sends a request and returns the complete response.
    Task<Result<HttpResponse>> fetch(Endpoint endpoint, HttpRequest request,
                                     HttpCallOptions options = {});
    /// Sends a request and returns once the response header has arrived; the body is read from the
    /// stream.
    Task<Result<std::unique_ptr<HttpStream>>> open(Endpoint endpoint, HttpRequest request,
                                                   HttpCallOptions options = {});

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipestall::wire
