#pragma once

#include "snipestall/serving/attempt_budget.hpp"
#include "snipestall/serving/stream_origin.hpp"

#include <boost/beast/http/fields.hpp>

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipestall::gateway {

// Header fields between an instance that forwards a request and the one that serves it. They count
// only on connections of instances, and neither callers nor backend servers get them.

/// The version of the configuration by which the request was admitted.
inline constexpr const char *ForwardConfigField = "Snipestall-Config-Version";
/// The start of the request is already counted in the usage of its customer.
inline constexpr const char *ForwardCountedField = "Snipestall-Usage-Counted";
/// In an answer: the request has not run and will not run. The value says whether a server has
/// rejected it or none has got it.
inline constexpr const char *ForwardNotRunField = "Snipestall-Not-Run";
inline constexpr const char *ForwardRejected = "rejected";
inline constexpr const char *ForwardUnsent = "unsent";

/// The service and the software version that wrote the first event of the stream: in a request, who
/// has to continue it; in an answer, who wrote it.
inline constexpr const char *ForwardServiceField = "Snipestall-Stream-Service";
inline constexpr const char *ForwardVersionField = "Snipestall-Stream-Version";

/// Attempts: in a request, those that are left to it; in an answer, those that were used. An answer
/// that is passed on as it arrives does not state them, because more may follow.
inline constexpr const char *ForwardRunsField = "Snipestall-Runs";
inline constexpr const char *ForwardSendsField = "Snipestall-Sends";

inline void eraseForwardFields(boost::beast::http::fields &fields)
{
    for (const char *name :
         { ForwardConfigField, ForwardCountedField, ForwardNotRunField, ForwardServiceField,
           ForwardVersionField, ForwardRunsField, ForwardSendsField })
        fields.erase(name);
}

inline void setForwardedOrigin(const std::optional<serving::StreamOrigin> &origin,
                               boost::beast::http::fields &fields)
{
    if (!origin)
        return;
    fields.set(ForwardServiceField, origin->service);
    fields.set(ForwardVersionField, origin->version);
}

/// Returns the origin that a forwarded request or its answer states; nothing if it states none.
inline std::optional<serving::StreamOrigin>
forwardedOrigin(const boost::beast::http::fields &fields)
{
    const auto service = fields.find(ForwardServiceField);
    const auto version = fields.find(ForwardVersionField);
    if (service == fields.end() || version == fields.end())
        return std::nullopt;
    return serving::StreamOrigin { std::string(service->value()), std::string(version->value()) };
}

inline void setForwardedAttempts(const serving::AttemptCounts &attempts,
                                 boost::beast::http::fields &fields)
{
    fields.set(ForwardRunsField, std::to_string(attempts.runs));
    fields.set(ForwardSendsField, std::to_string(attempts.sends));
}

/// Returns the number in a field; nothing if it is missing, negative, too large or not a number.
inline std::optional<int> forwardedCount(const boost::beast::http::fields &fields, const char *name)
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return std::nullopt;
    const std::string_view text(found->value().data(), found->value().size());
    const char *end = text.data() + text.size();
    int count = -1;
    const auto parsed = std::from_chars(text.data(), end, count);
    if (parsed.ec != std::errc() || parsed.ptr != end || count < 0)
        return std::nullopt;
    return count;
}

/// Returns the attempts that a forwarded request or its answer states; nothing if it does not state
/// them readably, as instances of earlier versions do not.
inline std::optional<serving::AttemptCounts>
forwardedAttempts(const boost::beast::http::fields &fields)
{
    const auto runs = forwardedCount(fields, ForwardRunsField);
    const auto sends = forwardedCount(fields, ForwardSendsField);
    if (!runs || !sends)
        return std::nullopt;
    return serving::AttemptCounts { *runs, *sends };
}

/// Returns the version of the configuration that a forwarded request states; 0 if it states none.
inline std::int64_t forwardedConfigVersion(const boost::beast::http::fields &fields)
{
    const auto found = fields.find(ForwardConfigField);
    if (found == fields.end())
        return 0;
    const std::string_view text(found->value().data(), found->value().size());
    std::int64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

} // namespace snipestall::gateway
