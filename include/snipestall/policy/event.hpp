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
    /// Lookups and confirmations that a person waits for.
    Urgent,
    Normal,
    /// Long work that may wait but is never dropped.
    Patient,
};

/// A newer version of the settings is in force.
struct SettingsChanged
{
    std::shared_ptr<const settings::EffectiveSettings> settings;
};

/// A request to decide on, sent by a caller or forwarded by a peer to this instance as the owner.
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
    /// A peer has admitted the request already: it may be queued here or refused back to the peer,
    /// but is never forwarded on.
    bool forwarded = false;
    /// The request was taken over in a hand-over or from a lost peer. It is accepted already, so no
    /// limit refuses it.
    bool accepted = false;
    /// Number of times the request was in flight on a backend server that died; above 0 it is a
    /// suspect.
    std::uint32_t crashes = 0;
    /// Number of tokens that the caller already has, when the request is resumed.
    std::uint32_t resumeOffset = 0;
    /// Hash of the whole request, equal when the caller repeats it; 0 when unknown.
    std::uint64_t fingerprint = 0;
};

/// The caller no longer wants the answer.
struct RequestCancelled
{
    RequestHandle request;
};

/// An attempt produced tokens; the first such event reports the first token.
struct TokensProduced
{
    RequestHandle request;
    AttemptHandle attempt;
    std::uint32_t count = 0;
};

/// How an attempt ended.
enum class AttemptResult {
    Completed,
    /// No byte was sent to the backend server or peer.
    NotSent,
    /// The backend server or peer reported that it did not run the request; see `retryAfter`.
    Declined,
    /// The connection broke after bytes were sent; the backend server is still up.
    ConnectionLost,
    /// The connection broke because the backend server died.
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

/// An owned backend server is up and can be given work. Sent again when its properties change.
struct ServerUp
{
    ServerHandle server;
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
    std::uint32_t slots = 0;
    /// Loaded models and adapters.
    std::vector<std::string> models;
};

/// A backend server has notice or is being released: it gets no new work from this moment on.
struct ServerLeaving
{
    ServerHandle server;
    Duration notice {};
};

/// A backend server is gone, or from now on owned by another instance.
struct ServerGone
{
    ServerHandle server;
};

/// The load that a backend server reports for itself; it lags and may be wrong.
struct ServerReport
{
    ServerHandle server;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    Duration age {};
};

/// A prefix entered or left a backend server's cache. These events come late, and some are lost.
struct CacheChanged
{
    ServerHandle server;
    std::uint64_t prefix = 0;
    bool present = true;
};

/// The capacity that a peer offers for one service.
struct PoolSummary
{
    std::string service;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    std::uint32_t servers = 0;
    Duration wait {};
    /// Low 32 bits of the hashes of the most used cached prefixes.
    std::vector<std::uint32_t> prefixSketch;
    /// Fingerprints of requests of any service that crashed two backend servers.
    std::vector<std::uint64_t> quarantined {};
    /// Free slots including those reserved for short urgent work; `freeSlots` excludes them.
    std::uint32_t urgentFreeSlots = 0;
    /// Expected wait of short urgent work; `wait` applies when it is not reported.
    std::optional<Duration> urgentWait {};
    /// Expected wait of patient work; `wait` applies when it is not reported.
    std::optional<Duration> patientWait {};
    /// Median time for one output token, or for one call of a plain service; 0 when unknown.
    Duration tokenTime {};
    /// Number of backend servers that are ejected at the moment; `servers` excludes them.
    std::uint32_t ejected = 0;
    /// Median share of attempts that fail on a backend server.
    double failureRate = 0;
};

/// The summary of a peer instance; replaces its earlier one.
struct PeerSummary
{
    PeerHandle peer;
    std::string name;
    std::string dataCentre;
    std::vector<PoolSummary> pools;
};

/// A peer has not reported recently or is leaving: it gets no new work.
struct PeerGone
{
    PeerHandle peer;
};

/// This instance is about to stop: it accepts no new requests.
struct SelfLeaving
{
    Duration notice {};
};

/// The steward's view of the bought capacity; sent when it changes and at least every 5 s.
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
    /// Demand for a service over the whole data centre, in tokens per second and queued requests.
    struct Demand
    {
        std::string service;
        double tokensPerSecond = 0;
        double servedTokensPerSecondPerServer = 0;
        std::uint32_t queued = 0;
    };
    std::vector<Demand> demand;
};

/// The cloud refused to start an instance.
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
