#pragma once

#include "call_context.hpp"
#include "plan.hpp"

#include "snipestall/base/clock.hpp"
#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <vector>

namespace snipestall::load {

/// Headers of a call to an entry instance: the customer's key and what the plan and the class of
/// work say.
wire::HttpFields callHeaders(const CallContext &context, const PlannedCall &call);

/// A record with the planned properties of a call and no results yet.
CallRecord newRecord(const CallContext &context, const PlannedCall &call);

/// Copies the outcome, request ID and message of an error answer into the record. Returns the time
/// of the Retry-After header, if there is one.
std::optional<std::chrono::milliseconds> readErrorAnswer(const wire::HttpResponse &response,
                                                         CallRecord &record);

/// Runs one call to its end. `due` is the time at which the plan sends it.
using CallRunner = wire::Task<CallRecord> (*)(CallContext &context, const PlannedCall &call,
                                              SteadyTime due);

/// Sends a chat call through snipestall; resumes it if its answer is cut.
wire::Task<CallRecord> runChatCall(CallContext &context, const PlannedCall &call, SteadyTime due);
/// Sends a call of a plain service through snipestall.
wire::Task<CallRecord> runServiceCall(CallContext &context, const PlannedCall &call,
                                      SteadyTime due);
/// Sends a chat call straight to an engine, without retries.
wire::Task<CallRecord> runDirectCall(CallContext &context, const PlannedCall &call, SteadyTime due);

/// Sends the calls of a plan open-loop: each at its time, without waiting for the earlier ones to
/// end.
class LoadGenerator
{
public:
    /// At most `maxOpenCalls` calls are open at once; the others are counted as not sent.
    LoadGenerator(boost::asio::io_context &io, CallContext context, std::size_t maxOpenCalls);

    /// Returns when every call has ended. If `direct`, the targets are engines and only chat calls
    /// are sent.
    wire::Task<void> send(const std::vector<PlannedCall> &plan, bool direct);

private:
    wire::Task<void> runCall(CallRunner runner, const PlannedCall &call, SteadyTime due);
    wire::Task<void> runRepeat(const PlannedCall &call, SteadyTime due);

    boost::asio::io_context &m_io;
    CallContext m_context;
    std::size_t m_maxOpenCalls;
    std::size_t m_openCalls = 0;
};

} // namespace snipestall::load
