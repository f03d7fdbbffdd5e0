#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace snipestall::soak {

/// Names of the customer that sends all the time and of the one that floods the servers.
constexpr auto Customer = "harbour";
constexpr auto FloodingCustomer = "mill";

using Moment = std::chrono::steady_clock::time_point;

/// Kinds of requests that the clients send.
enum class RequestKind {
    /// A request that may run at most once.
    NonIdempotent,
    Idempotent,
    ResumableStream,
    NonResumableStream,
    /// An idempotent request to a route that was added during the run.
    AddedRoute,
};

inline bool isStream(RequestKind kind)
{
    return kind == RequestKind::ResumableStream || kind == RequestKind::NonResumableStream;
}

/// One request of a client and what the client received of the answer.
struct Attempt
{
    std::string id;
    RequestKind kind = RequestKind::NonIdempotent;
    std::size_t gateway = 0;
    std::string customer = Customer;
    std::string method;
    std::string target;
    /// Set if the attempt takes up a stream: the attempt that began it, and the last event that the
    /// client has received.
    std::string resumes;
    int after = 0;
    std::uint64_t bodyHash = 0;
    Moment sent;
    Moment ended;
    /// HTTP status; 0 if no response head was received.
    int status = 0;
    /// The response was received to its end without an error.
    bool complete = false;
    /// No byte of the request was sent because the gateway could not be reached.
    bool unsent = false;
    std::string seal;
    std::string echoedId;
    bool hasRetryAfter = false;
    std::chrono::milliseconds retryAfter { 0 };
    /// Its prompt has the part that ends servers.
    bool crashing = false;
    /// It was sent before the answers to earlier requests on its connection had come.
    bool ahead = false;
    /// A part of it is longer than any message needs, so that the gateway may break off.
    bool malformed = false;
    std::string body;

    /// The attempt that began the stream.
    [[nodiscard]] const std::string &stream() const { return resumes.empty() ? id : resumes; }
};

} // namespace snipestall::soak
