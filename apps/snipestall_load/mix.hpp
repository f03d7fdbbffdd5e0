#pragma once

#include "snipestall/base/result.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::load {

/// Inclusive bounds of a number that is drawn for each call.
struct Range
{
    std::int64_t least = 0;
    std::int64_t most = 0;
};

/// One kind of work in a mix: chat calls of a model, or calls of a plain service.
struct WorkClass
{
    std::string name = "normal";
    /// Weight of this class among all classes of the mix.
    double share = 1;
    /// Model of chat calls; empty: the class holds calls of `service`.
    std::string model;
    /// Plain service; empty: the class holds chat calls of `model`.
    std::string service;
    /// Path at the plain service.
    std::string path = "/topups";
    /// Customer's key; empty: the key of the command line.
    std::string key;
    /// urgent, normal or patient; empty: the header is not sent, and snipestall decides.
    std::string urgency;
    /// Deadline of each call; 0: the header is not sent.
    std::chrono::milliseconds deadline { 0 };
    /// Prompt of every call; empty: each call has a prompt of its own.
    std::string prompt;
    /// Length of a generated prompt, without its shared prefix.
    Range promptCharacters { 100, 400 };
    /// Length of an answer of a model; amount of a call of a plain service.
    Range maxTokens { 16, 64 };
    /// Number of different shared prefixes with which prompts begin; 0: no prefix.
    std::int64_t prefixes = 0;
    std::int64_t prefixCharacters = 256;
    /// Share of calls that are sent as non-idempotent.
    double nonIdempotentShare = 0;
    /// Share of calls that have an idempotency key.
    double keyedShare = 0;
    /// Share of keyed calls that are sent a second time, to another target.
    double repeatedShare = 0;
    /// Time between a call and its second sending.
    std::chrono::milliseconds repeatAfter { 0 };
    /// Share of callers that send a refused call again after its Retry-After time.
    double followsRetryAfter = 1;
};

/// A period in which calls are sent at another rate.
struct Burst
{
    /// Time from the start of the plan.
    std::chrono::milliseconds at { 0 };
    std::chrono::milliseconds length { 0 };
    /// Multiplies the mix's rate.
    double factor = 1;
};

/// Description of an open-loop load. The same mix with the same seed gives the same calls.
struct Mix
{
    /// Calls per second.
    double rate = 10;
    std::chrono::milliseconds duration { 10000 };
    std::uint64_t seed = 1;
    std::vector<WorkClass> classes;
    std::vector<Burst> bursts;

    /// Reads a mix from YAML. InvalidArgument names the path of the invalid entry; for an unknown
    /// key it also lists the allowed ones.
    static Result<Mix> parse(const std::string &yaml);
    /// Reads a mix from a YAML file. NotFound if the file can't be opened; otherwise as parse().
    static Result<Mix> load(const std::string &file);
};

} // namespace snipestall::load
