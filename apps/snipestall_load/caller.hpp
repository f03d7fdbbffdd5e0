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

/// Headers that each call to an entry instance carries.
wire::HttpFields callFields(const CallContext &context, const PlannedCall &call);

/// A record with what the plan says.
CallRecord newRecord(const CallContext &context, const PlannedCall &call);

/// Reads an error answer's outcome into the record. Returns the time to come back, if there is one.
std::optional<std::chrono::milliseconds> readRefusal(const wire::HttpResponse &response,
                                                     CallRecord &record);

/// How a kind of call is run; one function a phase.
using CallRunner = wire::Task<CallRecord> (*)(CallContext &context, const PlannedCall &call,
                                              SteadyTime due);

wire::Task<CallRecord> runChatCall(CallContext &context, const PlannedCall &call, SteadyTime due);
wire::Task<CallRecord> runServiceCall(CallContext &context, const PlannedCall &call,
                                      SteadyTime due);
wire::Task<CallRecord> runDirectCall(CallContext &context, const PlannedCall &call, SteadyTime due);

/// Sends a plan open-loop: each call at its time, whatever became of the earlier ones.
class Caller
{
public:
    Caller(boost::asio::io_context &io, CallContext context, std::size_t maxOpen);

    /// Ends when every call has ended. `direct`: straight to engines, chat calls alone.
    wire::Task<void> send(const std::vector<PlannedCall> &plan, bool direct);

private:
    wire::Task<void> runOne(CallRunner runner, const PlannedCall &call, SteadyTime due);
    wire::Task<void> repeatOne(const PlannedCall &call, SteadyTime due);

    boost::asio::io_context &m_io;
    CallContext m_context;
    std::size_t m_maxOpen;
    std::size_t m_open = 0;
};

} // namespace snipestall::load
