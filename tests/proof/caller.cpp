#include "proof/caller.hpp"

#include "harness/http_call.hpp"
#include "harness/settings_text.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <cstdint>
#include <cstdio>

namespace snipestall::harness {

namespace {

constexpr std::chrono::seconds CallLimit { 60 };

} // namespace

std::string Answer::toString() const
{
    return std::to_string(status) + " " + outcome + " " + request + " " + body;
}

wire::HttpRequest customerRequest(const std::string &method, const std::string &target,
                                  const std::string &body)
{
    wire::HttpRequest request { method, target, {}, body };
    request.fields.set("Authorization", std::string("Bearer ") + CustomerKey);
    return request;
}

wire::HttpRequest topUp(const std::string &idempotencyKey)
{
    auto request =
        customerRequest("POST", "/services/ledger/topups", R"({"account":"a","amount":5})");
    request.fields.set("Idempotency-Key", idempotencyKey);
    return request;
}

wire::HttpRequest completion(const std::string &prompt, int maxTokens, bool stream)
{
    boost::json::object body;
    body["model"] = "writer";
    body["prompt"] = prompt;
    body["max_tokens"] = maxTokens;
    body["stream"] = stream;
    return customerRequest("POST", "/v1/completions", boost::json::serialize(body));
}

Answer call(const wire::Endpoint &entry, wire::HttpRequest request)
{
    const auto response = httpCall(entry, std::move(request), CallLimit);
    if (!response)
        return { 0, {}, {}, {}, response.error().message };
    const auto field = [&response](const char *name) {
        return response->fields.find(name).value_or("");
    };
    return { response->status, field("Snipestall-Outcome"), field("Snipestall-Request-Id"),
             field("Retry-After"), response->body };
}

std::future<Answer> callAsync(const wire::Endpoint &entry, wire::HttpRequest request)
{
    return std::async(std::launch::async, call, entry, std::move(request));
}

std::string expectedText(const std::string &prompt, int tokens)
{
    const auto hash = static_cast<std::uint32_t>(stableHash(prompt));
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", hash);
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += std::string(digits) + ":" + std::to_string(i) + " ";
    return text;
}

std::string textOf(const Answer &answer)
{
    boost::system::error_code ec;
    const boost::json::value body = boost::json::parse(answer.body, ec);
    if (ec)
        return {};
    const boost::json::value *text = body.find_pointer("/choices/0/text", ec);
    return text != nullptr && text->is_string() ? std::string(text->get_string()) : std::string();
}

} // namespace snipestall::harness
