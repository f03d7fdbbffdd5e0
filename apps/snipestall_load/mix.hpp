#pragma once

#include "snipestall/base/result.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::load {

/// Inclusive bounds of a number drawn for each call.
struct Span
{
    std::int64_t least = 0;
    std::int64_t most = 0;
};

/// One kind of work in a mix: chat calls of a model, or calls of a plain service.
struct WorkClass
{
    std::string name = "normal";
    double share = 1;
    /// Empty: calls of `service`.
    std::string model;
    std::string service;
    std::string path = "/topups";
    /// Customer's key; empty: the one of the command line.
    std::string key;
    /// urgent, normal or patient; empty: left to snipestall.
    std::string urgency;
    std::chrono::milliseconds deadline { 0 };
    /// Empty: each prompt is its own; otherwise every call sends this one.
    std::string prompt;
    Span promptCharacters { 100, 400 };
    Span maxTokens { 16, 64 };
    /// Number of shared prefixes that prompts begin with; 0: none.
    std::int64_t prefixes = 0;
    std::int64_t prefixCharacters = 256;
    double nonIdempotentShare = 0;
    double keyedShare = 0;
    /// Share of keyed calls that are sent a second time at another target.
    double repeatedShare = 0;
    std::chrono::milliseconds repeatAfter { 0 };
    /// Share of callers that come back after Retry-After.
    double followsRetryAfter = 1;
};

/// A stretch of time with another rate.
struct Burst
{
    std::chrono::milliseconds at { 0 };
    std::chrono::milliseconds length { 0 };
    double factor = 1;
};

/// What is sent: an open-loop mix of calls, the same for the same seed.
struct Mix
{
    double rate = 10;
    std::chrono::milliseconds duration { 10000 };
    std::uint64_t seed = 1;
    std::vector<WorkClass> classes;
    std::vector<Burst> bursts;

    /// Reads a mix from YAML; InvalidArgument names the path at fault and what is allowed there.
    static Result<Mix> parse(const std::string &yaml);
    static Result<Mix> load(const std::string &file);
};

} // namespace snipestall::load
