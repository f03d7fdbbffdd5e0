#pragma once

#include "snipestall/policy/handles.hpp"
#include "snipestall/policy/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipestall::settings {
struct EffectiveSettings;
}

namespace snipestall::policy {

/// How soon a caller needs the answer.
enum class Urgency {
    /// Lookups, confirmations: a person waits.
    Urgent,
    Normal,
    /// Long work that may wait but never vanishes.
    Patient,
};

/// A newer version of the settings is in force.
struct SettingsChanged
{
    std::shared_ptr<const settings::EffectiveSettings> settings;
};

/// A request to decide on: from a caller, or forwarded by a peer to this owner.
struct RequestArrived
{
    RequestHandle request;
    std::string customer;
    std::string service;
    Urgency urgency = Urgency::Normal;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    Time deadline;
    bool idempotent = true;
    /// Chain of hashes of the prompt's prefix blocks, shortest prefix first.
    std::vector<std::uint64_t> prefix;
    /// Forwarded: already admitted by a peer; it may be queued or refused back, never forwarded on.
    bool forwarded = false;
    /// Took over after a hand-over or a lost peer: already accepted, so never refused by a limit.
    bool accepted = false;
    /// Times it was in flight on a backend server that died; > 0 makes it a suspect.
    std::uint32_t crashes = 0;
    /// Tokens that callers already have, when it is resumed.
    std::uint32_t resumeOffset = 0;
    /// Hash of the whole request, the same when its caller repeats it; 0 when not known.
    std::uint64_t fingerprint = 0;
};

/// The caller no longer wants the answer.
struct RequestCancelled
{
    RequestHandle request;
};

/// Tokens came out of an attempt; the first such event is the first token.
struct TokensProduced
{
    RequestHandle request;
    AttemptHandle attempt;
    std::uint32_t count = 0;
};

/// How an attempt ended.
enum class AttemptResult {
    Completed,
    /// No byte left for the backend server or peer.
    NotSent,
    /// The backend server or peer said that it did not run it; see retryAfter.
    Declined,
    /// The connection broke after bytes left, the server lives.
    Cut,
    /// The connection broke since the backend server died.
    ServerDied,
    /// The backend server answered with a final failure.
    Rejected,
};

struct AttemptEnded
{
    RequestHandle request;
    AttemptHandle attempt;
    AttemptResult result = AttemptResult::Completed;
    Duration retryAfter {};
};

/// An owned backend server is there and can be given work. Sent again when its facts change.
struct ServerUp
{
    ServerHandle server;
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
    std::uint32_t slots = 0;
    /// Models (and adapters) loaded.
    std::vector<std::string> models;
};

/// A backend server has notice or is being released: it gets no new work from this moment on.
struct ServerLeaving
{
    ServerHandle server;
    Duration notice {};
};

/// A backend server is gone, or owned by another instance from now on.
struct ServerGone
{
    ServerHandle server;
};

/// A backend server's own account of its load; lags and may be wrong.
struct ServerReport
{
    ServerHandle server;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    Duration age {};
};

/// A prefix entered or left a backend server's cache; comes late and with gaps.
struct CacheChanged
{
    ServerHandle server;
    std::uint64_t prefix = 0;
    bool present = true;
};

/// What a peer can take for one service.
struct PoolSummary
{
    std::string service;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    std::uint32_t servers = 0;
    Duration wait {};
    /// Low 32 bits of the hottest cached prefixes.
    std::vector<std::uint32_t> prefixSketch;
    /// Fingerprints of requests that took down two backend servers, of any service.
    std::vector<std::uint64_t> quarantined {};
    /// Free slots with those reserved for short urgent work; `freeSlots` is without them.
    std::uint32_t urgentFreeSlots = 0;
    /// Wait of short urgent work; when not told, `wait`.
    std::optional<Duration> urgentWait {};
    /// Wait of patient work; when not told, `wait`.
    std::optional<Duration> patientWait {};
    /// Usual time for one output token, or for one call of a plain service; 0 when not known.
    Duration tokenTime {};
    /// Backend servers that are ejected at the moment; not among `servers`.
    std::uint32_t ejected = 0;
    /// Usual share of attempts that fail on a backend server.
    double failureRate = 0;
};

/// A peer instance's summary; replaces its earlier one.
struct PeerSummary
{
    PeerHandle peer;
    std::string name;
    std::string dataCentre;
    std::vector<PoolSummary> pools;
};

/// A peer is silent or leaving: it gets no new work.
struct PeerGone
{
    PeerHandle peer;
};

/// This instance is going to stop: it accepts nothing more.
struct SelfLeaving
{
    Duration notice {};
};

/// The steward's view of the capacity bought; sent when it changes and at least each 5 s.
struct CapacityReport
{
    struct Group
    {
        std::string service;
        std::string dataCentre;
        std::string instanceClass;
        std::uint32_t running = 0;
        std::uint32_t starting = 0;
    };
    std::vector<Group> groups;
    /// Requests a second and tokens a second asked of each service, over the whole data centre.
    struct Demand
    {
        std::string service;
        double tokensPerSecond = 0;
        double servedTokensPerSecondPerServer = 0;
        std::uint32_t queued = 0;
    };
    std::vector<Demand> demand;
};

/// The cloud refused a start.
struct StartRefused
{
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
};

using Event =
    std::variant<SettingsChanged, RequestArrived, RequestCancelled, TokensProduced, AttemptEnded,
                 ServerUp, ServerLeaving, ServerGone, ServerReport, CacheChanged, PeerSummary,
                 PeerGone, SelfLeaving, CapacityReport, StartRefused>;

} // namespace snipestall::policy
