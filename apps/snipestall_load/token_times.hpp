#pragma once

#include "call_record.hpp"
#include "latency_histogram.hpp"

#include "snipestall/base/clock.hpp"

namespace snipestall::load {

/// Measures when the tokens of one answer arrive.
class TokenTimes
{
public:
    /// `due` is the time at which the plan sent the call.
    TokenTimes(SteadyTime due, LatencyHistogram &betweenTokens)
        : m_due(due)
        , m_betweenTokens(betweenTokens)
    { }

    /// Stores the time to the first token in the record, and the gaps between later tokens in the
    /// histogram.
    void recordToken(SteadyTime now, CallRecord &record)
    {
        if (record.tokens == 0)
            record.firstToken = now - m_due;
        else
            m_betweenTokens.add(now - m_last);
        m_last = now;
        ++record.tokens;
    }

private:
    SteadyTime m_due;
    SteadyTime m_last {};
    LatencyHistogram &m_betweenTokens;
};

} // namespace snipestall::load
