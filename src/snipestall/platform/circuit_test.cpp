#include "snipestall/platform/circuit.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace snipestall::platform {
namespace {

using namespace std::chrono_literals;

class CircuitTest : public testing::Test
{
protected:
    void fail()
    {
        const auto ticket = m_circuit.admit(m_now);
        ASSERT_TRUE(ticket.has_value());
        m_circuit.failed(*ticket, m_now, "test");
    }

    void open()
    {
        for (std::size_t i = 0; i < m_options.failuresToOpen; ++i)
            fail();
    }

    /// Calls admitted out of `asked` at this moment, none of which has ended.
    std::vector<Circuit::Ticket> admitted(int asked)
    {
        std::vector<Circuit::Ticket> tickets;
        for (int i = 0; i < asked; ++i) {
            const auto ticket = m_circuit.admit(m_now);
            if (ticket)
                tickets.push_back(*ticket);
        }
        return tickets;
    }

    CircuitOptions m_options;
    SteadyTime m_now;
    Circuit m_circuit { "test", m_options, 7 };
};

// The table has been down for minutes and thousands of claims wait. Let through together, they
// would overload it the moment it is back and keep it down; one probe goes first, then a doubling
// number.
TEST_F(CircuitTest, RecoveryBeginsWithOneProbeAndDoubles)
{
    open();
    EXPECT_FALSE(m_circuit.answering());
    EXPECT_TRUE(admitted(100).empty());
    m_now += m_options.longestPause;
    auto underWay = admitted(100);
    EXPECT_EQ(underWay.size(), 1U);
    m_circuit.succeeded(underWay.front());
    EXPECT_TRUE(m_circuit.answering());
    for (const std::size_t expected : { 1U, 2U, 8U }) {
        underWay = admitted(100);
        EXPECT_EQ(underWay.size(), expected);
        for (const Circuit::Ticket ticket : underWay)
            m_circuit.succeeded(ticket);
    }
}

TEST_F(CircuitTest, ProbesBecomeRarerUpToTheLongestPause)
{
    open();
    int probes = 0;
    const SteadyTime end = m_now + 10min;
    for (; m_now < end; m_now += 10ms) {
        const auto ticket = m_circuit.admit(m_now);
        if (!ticket)
            continue;
        ++probes;
        m_circuit.failed(*ticket, m_now, "test");
    }
    // Pauses lie between half the longest and the longest.
    EXPECT_GE(probes, 600 / 5);
    EXPECT_LE(probes, 600 / 2);
}

// Fifty calls hang when the table stops answering, and time out one after the other. Each would
// double the pause, and the recovery would be noticed seconds late.
TEST_F(CircuitTest, CallsFromBeforeTheOutageDoNotLengthenThePause)
{
    const auto hanging = admitted(50);
    open();
    for (const Circuit::Ticket ticket : hanging)
        m_circuit.failed(ticket, m_now, "timed out");
    m_now += m_options.firstPause;
    EXPECT_EQ(admitted(5).size(), 1U);
}

TEST_F(CircuitTest, ASuccessInBetweenKeepsItClosed)
{
    for (int i = 0; i < 10; ++i) {
        fail();
        fail();
        const auto ticket = m_circuit.admit(m_now);
        m_circuit.succeeded(*ticket);
    }
    EXPECT_TRUE(m_circuit.answering());
}

} // namespace
} // namespace snipestall::platform
