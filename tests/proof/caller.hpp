#pragma once

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_request.hpp"

#include <future>
#include <string>

namespace snipestall::harness {

/// What a caller saw of one call.
struct Answer
{
    /// Zero: no whole answer came.
    int status = 0;
    std::string outcome {};
    std::string request {};
    std::string retryAfter {};
    std::string body {};

    [[nodiscard]] bool completed() const { return status == 200 && outcome != "unknown"; }
    [[nodiscard]] bool notRun() const { return outcome == "not-run"; }
    [[nodiscard]] std::string toString() const;
};

/// A request under a customer's key.
wire::HttpRequest customerRequest(const std::string &method, const std::string &target,
                                  const std::string &body = {});
/// A balance change under a caller's key: not idempotent, as the default settings say.
wire::HttpRequest topUp(const std::string &idempotencyKey);
wire::HttpRequest completion(const std::string &prompt, int maxTokens, bool stream);

/// One call, done when it returns.
Answer call(const wire::Endpoint &entry, wire::HttpRequest request);
/// The same call on a thread of its own.
std::future<Answer> callLater(const wire::Endpoint &entry, wire::HttpRequest request);

/// The text that an engine gives for a prompt.
std::string wholeText(const std::string &prompt, int tokens);
/// The text in an answer that is not a stream.
std::string textOf(const Answer &answer);

} // namespace snipestall::harness
