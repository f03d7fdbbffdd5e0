#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace snipestall::policy {

enum class RefusalReason {
    UnknownService,
    RateLimit,
    TokenLimit,
    ConcurrencyLimit,
    /// The request would not finish before its deadline.
    Late,
    QueueFull,
    NoCapacity,
    Leaving,
    /// The request has used up its retries.
    RetriesExhausted,
    /// The request crashed two backend servers.
    Quarantined,
    /// The deadline passed while the request was queued.
    Expired,
};

std::string_view toString(RefusalReason reason);

/// Sends the request to an owned backend server now.
struct Dispatch
{
    RequestHandle request;
    AttemptHandle attempt;
    ServerHandle server;
};

/// Forwards the request now to the peer that owns a suitable backend server.
struct ForwardTo
{
    RequestHandle request;
    AttemptHandle attempt;
    PeerHandle peer;
};

/// Gives the caller its final answer at once. The outcome is "not run" if no attempt was ever sent;
/// the I/O layer knows that, the policy does not.
struct Refuse
{
    RequestHandle request;
    RefusalReason reason = RefusalReason::NoCapacity;
    /// Time after which the caller should retry; zero when a retry cannot succeed.
    Duration retryAfter {};
};

/// Stops an attempt because its output is no longer wanted.
struct CancelAttempt
{
    RequestHandle request;
    AttemptHandle attempt;
};

enum class MoveMethod {
    /// Exports the KV cache and imports it at the target.
    ExportKv,
    /// Resumes the stream by recomputing the prompt and the output so far at the target.
    Resume,
};

/// Moves a running stream off a leaving backend server. Attempt `from` ends when `attempt` starts.
struct MoveStream
{
    RequestHandle request;
    AttemptHandle from;
    AttemptHandle attempt;
    ServerHandle target;
    MoveMethod method = MoveMethod::Resume;
};

/// Starts one instance. Only the steward carries this out.
struct StartInstance
{
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
};

/// Releases one instance of a group. Only the steward carries this out.
struct ReleaseInstance
{
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
};

using Command = std::variant<Dispatch, ForwardTo, Refuse, CancelAttempt, MoveStream, StartInstance,
                             ReleaseInstance>;

} // namespace snipestall::policy
