#pragma once

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_request.hpp"

#include <future>
#include <string>

namespace snipestall::harness {

/// The answer to a call as its caller received it.
struct Answer
{
    /// HTTP status; 0 if no complete answer was received.
    int status = 0;
    std::string outcome {};
    std::string request {};
    std::string retryAfter {};
    std::string body {};

    [[nodiscard]] bool completed() const { return status == 200 && outcome != "unknown"; }
    [[nodiscard]] bool notRun() const { return outcome == "not-run"; }
    [[nodiscard]] std::string toString() const;
};

/// Makes a request with the API key of a customer.
wire::HttpRequest customerRequest(const std::string &method, const std::string &target,
                                  const std::string &body = {});
/// Makes a balance change with this idempotency key. By the default settings it is not idempotent.
wire::HttpRequest topUp(const std::string &idempotencyKey);
wire::HttpRequest completion(const std::string &prompt, int maxTokens, bool stream);

/// Sends a request and waits for its answer.
Answer call(const wire::Endpoint &entry, wire::HttpRequest request);
/// Sends a request on a thread of its own.
std::future<Answer> callAsync(const wire::Endpoint &entry, wire::HttpRequest request);

/// Returns the text that an engine generates for a prompt.
std::string expectedText(const std::string &prompt, int tokens);
/// Returns the text of an answer that is not a stream.
std::string textOf(const Answer &answer);

} // namespace snipestall::harness
