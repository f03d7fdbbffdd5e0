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
    /// It would not make its deadline.
    Late,
    QueueFull,
    NoCapacity,
    Leaving,
    /// Its retries are used up.
    RetriesExhausted,
    /// It took down two backend servers.
    Quarantined,
    /// Its deadline passed while it waited.
    Expired,
};

std::string_view toString(RefusalReason reason);

/// Send the request to an owned backend server, now.
struct Dispatch
{
    RequestHandle request;
    AttemptHandle attempt;
    ServerHandle server;
};

/// Send the request to the peer that owns a fitting backend server, now.
struct ForwardTo
{
    RequestHandle request;
    AttemptHandle attempt;
    PeerHandle peer;
};

/// Give the caller its final answer at once. It is "not run" if no attempt was ever sent;
/// the edge knows that, not the policy.
struct Refuse
{
    RequestHandle request;
    RefusalReason reason = RefusalReason::NoCapacity;
    /// When to come back; zero when coming back is of no use.
    Duration retryAfter {};
};

/// Stop an attempt: its output is no longer wanted.
struct CancelAttempt
{
    RequestHandle request;
    AttemptHandle attempt;
};

enum class MoveMethod {
    /// Export the KV cache and import it at the target.
    ExportKv,
    /// Resume by recomputing prompt and output at the target.
    Resume,
};

/// Move a running stream off a leaving backend server. The old attempt ends with `attempt`'s start.
struct MoveStream
{
    RequestHandle request;
    AttemptHandle from;
    AttemptHandle attempt;
    ServerHandle target;
    MoveMethod method = MoveMethod::Resume;
};

/// Start one instance; only the steward carries it out.
struct StartInstance
{
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
};

/// Release one instance of a group; only the steward carries it out.
struct ReleaseInstance
{
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
};

using Command = std::variant<Dispatch, ForwardTo, Refuse, CancelAttempt, MoveStream, StartInstance,
                             ReleaseInstance>;

} // namespace snipestall::policy
