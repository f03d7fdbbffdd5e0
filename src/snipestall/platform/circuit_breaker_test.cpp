#include "snipestall/platform/circuit_breaker.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace snipestall::platform {
namespace {

using namespace std::chrono_literals;

class CircuitBreakerTest : public testing::Test
{
protected:
    void fail()
    {
        const auto ticket = m_circuit.admit(m_now);
        ASSERT_TRUE(ticket.has_value());
        m_circuit.recordFailure(*ticket, m_now, "test");
    }

    void open()
    {
        for (std::size_t i = 0; i < m_options.failuresToOpen; ++i)
            fail();
    }

    /// Requests `requested` calls at the current time; returns the tickets of those that are
    /// admitted and leaves them in flight.
    std::vector<CircuitBreaker::Ticket> admitted(int requested)
    {
        std::vector<CircuitBreaker::Ticket> tickets;
        for (int i = 0; i < requested; ++i) {
            const auto ticket = m_circuit.admit(m_now);
            if (ticket)
                tickets.push_back(*ticket);
        }
        return tickets;
    }

    CircuitOptions m_options;
    SteadyTime m_now;
    CircuitBreaker m_circuit { "test", m_options, 7 };
};

// Thousands of claims wait for a table that has been down for minutes. If all were admitted when it
// recovers, they would overload it at once and keep it down. One probe must therefore come first,
// then a number of calls that doubles.
TEST_F(CircuitBreakerTest, RecoveryBeginsWithOneProbeAndDoubles)
{
    open();
    EXPECT_FALSE(m_circuit.isAvailable());
    EXPECT_TRUE(admitted(100).empty());
    m_now += m_options.longestPause;
    auto inFlight = admitted(100);
    EXPECT_EQ(inFlight.size(), 1U);
    m_circuit.recordSuccess(inFlight.front());
    EXPECT_TRUE(m_circuit.isAvailable());
    for (const std::size_t expected : { 1U, 2U, 8U }) {
        inFlight = admitted(100);
        EXPECT_EQ(inFlight.size(), expected);
        for (const CircuitBreaker::Ticket ticket : inFlight)
            m_circuit.recordSuccess(ticket);
    }
}

TEST_F(CircuitBreakerTest, ProbesBecomeRarerUpToTheLongestPause)
{
    open();
    int probes = 0;
    const SteadyTime end = m_now + 10min;
    for (; m_now < end; m_now += 10ms) {
        const auto ticket = m_circuit.admit(m_now);
        if (!ticket)
            continue;
        ++probes;
        m_circuit.recordFailure(*ticket, m_now, "test");
    }
    // Each pause is between half the longest pause and the longest pause.
    EXPECT_GE(probes, 600 / 5);
    EXPECT_LE(probes, 600 / 2);
}

// Fifty calls are in flight when the table stops answering, and time out one after the other. If
// each doubled the pause, the recovery would be detected seconds late.
TEST_F(CircuitBreakerTest, CallsFromBeforeTheOutageDoNotLengthenThePause)
{
    const auto inFlight = admitted(50);
    open();
    for (const CircuitBreaker::Ticket ticket : inFlight)
        m_circuit.recordFailure(ticket, m_now, "timed out");
    m_now += m_options.firstPause;
    EXPECT_EQ(admitted(5).size(), 1U);
}

TEST_F(CircuitBreakerTest, ASuccessBetweenFailuresKeepsTheCircuitClosed)
{
    for (int i = 0; i < 10; ++i) {
        fail();
        fail();
        const auto ticket = m_circuit.admit(m_now);
        m_circuit.recordSuccess(*ticket);
    }
    EXPECT_TRUE(m_circuit.isAvailable());
}

} // namespace
} // namespace snipestall::platform
