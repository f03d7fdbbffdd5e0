#pragma once

#include <chrono>

namespace snipestall::entry {

struct FinalAnswer;
struct RequestSpec;

/// Told what becomes of the requests that this instance answers for, as for metrics. Called on the
/// loop's own thread, once a request and once a token.
class RequestObserver
{
public:
    virtual ~RequestObserver() = default;

    virtual void arrived(const RequestSpec &spec) = 0;
    /// The first piece of an answer; not told of a request that another instance began.
    virtual void began(const RequestSpec &spec, std::chrono::nanoseconds sinceArrival) = 0;
    virtual void wentOn(const RequestSpec &spec, std::chrono::nanoseconds sinceLastPiece) = 0;
    virtual void ended(const RequestSpec &spec, const FinalAnswer &answer) = 0;
};

} // namespace snipestall::entry
