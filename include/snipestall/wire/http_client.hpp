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

struct HttpCallOptions
{
    std::chrono::milliseconds connectTimeout { 1000 };
    /// Longest silence while waiting for bytes.
    std::chrono::milliseconds idleTimeout { 10000 };
    /// Never reuse an idle connection: for calls that must not be repeated, where a reused
    /// connection that the server has just closed would leave the outcome unknown.
    bool freshConnection = false;
    /// Called right before the first byte is written; returning false gives up with Unavailable.
    std::function<bool()> beforeSend;
};

/// HTTP/1.1 client. Errors tell what the caller may conclude: Unavailable means that no byte left;
/// OutcomeUnknown and DeadlineExceeded mean that it may have been run.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io);
    ~HttpClient();

    /// The whole answer at once.
    Task<Result<HttpResponse>> fetch(Endpoint endpoint, HttpRequest request,
                                     HttpCallOptions options = {});
    /// The answer as it comes.
    Task<Result<std::unique_ptr<HttpStream>>> open(Endpoint endpoint, HttpRequest request,
                                                   HttpCallOptions options = {});

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipestall::wire
