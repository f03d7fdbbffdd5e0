#include "model_call.hpp"

#include <boost/json/parse.hpp>

namespace snipestall::entry {

namespace json = boost::json;

namespace {

constexpr std::uint32_t DefaultMaxTokens = 256;
constexpr std::int64_t LargestMaxTokens = 32768;
/// Approximate value, used only for estimates; the engines count exactly.
constexpr std::size_t CharactersPerToken = 4;

tl::unexpected<Error> invalidArgument(const std::string &message)
{
    return fail(ErrorKind::InvalidArgument, message);
}

Result<std::string> joinMessages(const json::object &body)
{
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty())
        return invalidArgument(
            "'messages' must be a list with at least one {\"role\", \"content\"} object");
    std::string prompt;
    for (const json::value &message : messages->get_array()) {
        const json::value *content =
            message.is_object() ? message.get_object().if_contains("content") : nullptr;
        if (content == nullptr || !content->is_string())
            return invalidArgument(
                "each entry of 'messages' must have a 'content' that is a string");
        if (!prompt.empty())
            prompt.push_back('\n');
        prompt += content->get_string();
    }
    return prompt;
}

Result<std::string> plainPrompt(const json::object &body)
{
    const json::value *prompt = body.if_contains("prompt");
    if (prompt == nullptr || !prompt->is_string())
        return invalidArgument("'prompt' must be a string");
    return std::string(prompt->get_string());
}

} // namespace

Result<ModelCall> ModelCall::parse(std::string_view text, bool chat)
{
    boost::system::error_code syntax;
    const json::value value = json::parse(text, syntax);
    if (syntax || !value.is_object())
        return invalidArgument("the body must be a JSON object");
    const json::object &body = value.get_object();
    ModelCall call;
    call.chat = chat;
    const json::value *model = body.if_contains("model");
    if (model == nullptr || !model->is_string())
        return invalidArgument("'model' must be the name of a model; GET /v1/models lists them");
    call.model = model->get_string();
    auto prompt = chat ? joinMessages(body) : plainPrompt(body);
    if (!prompt)
        return tl::unexpected<Error>(prompt.error());
    call.prompt = std::move(*prompt);
    call.maxTokens = DefaultMaxTokens;
    if (const json::value *max = body.if_contains("max_tokens")) {
        const bool whole = max->is_int64();
        if (!whole || max->get_int64() < 1 || max->get_int64() > LargestMaxTokens)
            return invalidArgument("'max_tokens' must be an integer from 1 to 32768");
        call.maxTokens = static_cast<std::uint32_t>(max->get_int64());
    }
    if (const json::value *stream = body.if_contains("stream")) {
        if (!stream->is_bool())
            return invalidArgument("'stream' must be true or false");
        call.stream = stream->get_bool();
    }
    return call;
}

std::uint32_t ModelCall::promptTokens() const
{
    const std::size_t tokens = (prompt.size() + CharactersPerToken - 1) / CharactersPerToken;
    return static_cast<std::uint32_t>(tokens);
}

} // namespace snipestall::entry
