#pragma once

#include <chrono>

namespace snipestall::entry {

struct FinalAnswer;
struct RequestSpec;

/// Receives the progress of the requests whose home is this instance, for example for metrics.
/// Called on the thread of the I/O loop, up to once per token.
class RequestObserver
{
public:
    virtual ~RequestObserver() = default;

    virtual void arrived(const RequestSpec &spec) = 0;
    /// Called for the first piece of an answer; not called for a request that started on another
    /// instance.
    virtual void firstPieceProduced(const RequestSpec &spec,
                                    std::chrono::nanoseconds sinceArrival) = 0;
    /// Called for each further piece of an answer.
    virtual void nextPieceProduced(const RequestSpec &spec,
                                   std::chrono::nanoseconds sinceLastPiece) = 0;
    virtual void ended(const RequestSpec &spec, const FinalAnswer &answer) = 0;
};

} // namespace snipestall::entry
