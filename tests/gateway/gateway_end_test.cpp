// Tests that nothing writes to a gateway that has been destroyed before its loop. A program of its
// own, because it replaces the functions that free memory.

#include "cut_instance.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <new>
#include <vector>

namespace {

/// Blocks that were freed while it is on. They are filled and kept, so that a later write shows.
class FreedBlocks
{
public:
    static constexpr unsigned char Filler = 0xdd;

    void begin() { m_on = true; }
    void end() { m_on = false; }
    /// Takes a block over; returns false if it is to be freed at once.
    bool keep(void *block, std::size_t size)
    {
        if (!m_on || m_count == m_blocks.size())
            return false;
        auto *bytes = static_cast<unsigned char *>(block);
        std::fill(bytes, bytes + size, Filler);
        m_blocks[m_count++] = { bytes, size };
        return true;
    }
    [[nodiscard]] std::size_t count() const { return m_count; }
    /// Number of kept blocks that were written to.
    [[nodiscard]] std::size_t written() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_blocks.begin(), m_blocks.begin() + m_count, [](const Block &block) {
                return std::any_of(block.bytes, block.bytes + block.size,
                                   [](unsigned char byte) { return byte != Filler; });
            }));
    }

private:
    struct Block
    {
        unsigned char *bytes = nullptr;
        std::size_t size = 0;
    };

    bool m_on = false;
    std::size_t m_count = 0;
    std::array<Block, 100000> m_blocks;
};

FreedBlocks freedBlocks;

} // namespace

void operator delete(void *block) noexcept
{
    std::free(block);
}

void operator delete(void *block, std::size_t size) noexcept
{
    if (block != nullptr && !freedBlocks.keep(block, size))
        std::free(block);
}

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;

class GatewayEndTest : public WithCutInstance<GatewayPathTest>
{
protected:
    GatewayEndTest()
    {
        publish();
        startCut({ &m_first, &m_second });
    }

    ~GatewayEndTest() override
    {
        freedBlocks.begin();
        m_cut.gateway.reset();
        m_gateway.reset();
        freedBlocks.end();
    }

    // The loop is destroyed after the body of the last destructor.
    static void TearDownTestSuite()
    {
        EXPECT_GT(freedBlocks.count(), 0U);
        EXPECT_EQ(freedBlocks.written(), 0U);
    }
};

// Guards against a write to a gateway that was destroyed while it found out whether it reaches any
// server: a heap that is corrupted at the end of a test.
TEST_F(GatewayEndTest, AProbeThatOutlivesItsGatewayDoesNotWriteToIt)
{
    run([this]() -> Task<void> {
        co_await untilServing(m_cut.metrics, 2);
        cut(TestLink::Cut::Hang);
        while (!co_await hasMetric("snipestall_gateway_cut_off 1")) {
            boost::asio::co_spawn(
                m_io, [this]() -> Task<void> { co_await fetch(m_cut.callers, "/safe/x"); },
                boost::asio::detached);
            co_await wire::sleepFor(20ms);
        }
        // The next probe begins 250 ms after the last one and takes 400 ms.
        co_await wire::sleepFor(450ms);
    });
}

} // namespace
} // namespace snipestall::gateway
