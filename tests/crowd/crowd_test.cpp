// Crowds of clients that don't behave, against a real gateway process. Nothing that is checked
// depends on speed: the process lives, its memory and descriptors stay within its machine's, and
// ordinary requests are answered afterwards.

#include "crowd/crowd.hpp"
#include "crowd/crowd_fixture.hpp"
#include "crowd/process_watch.hpp"

#include <chrono>
#include <sstream>
#include <string>
#include <thread>

namespace snipestall::crowd {
namespace {

using namespace std::chrono_literals;

/// Later than the other parts of a test take.
constexpr double SlowServers = 300;

std::string chunked()
{
    return "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunkOf(std::size_t size)
{
    std::ostringstream text;
    text << std::hex << size << "\r\n" << std::string(size, 'a') << "\r\n";
    return text.str();
}

// Guards against whole bodies of legal size that fill the memory together.
TEST_F(CrowdTest, WholeBodies)
{
    start();
    CrowdScript script = shortBody(head());
    script.end = "a";
    expectBorne(m_callers, script);
}

// Guards against whole bodies that fill the memory while their servers take long.
TEST_F(CrowdTest, WholeBodiesAtSlowServers)
{
    start(SlowServers);
    CrowdScript script = shortBody(head());
    script.end = "a";
    expectBorne(m_callers, script);
}

// Guards against bodies that are held until an idle limit because they never become whole.
TEST_F(CrowdTest, BodiesThatStopShort)
{
    start();
    expectBorne(m_callers, shortBody(head()));
}

// Guards against the same by clients that come back as soon as their connection is closed.
TEST_F(CrowdTest, BodiesThatStopShortAgainAndAgain)
{
    start();
    CrowdScript script = shortBody(head());
    script.comesBack = true;
    expectBorne(m_callers, script);
}

// Guards against bodies that are read although their request is refused in any case.
TEST_F(CrowdTest, BodiesWithoutAKeyThatStopShort)
{
    start();
    expectBorne(m_callers, shortBody(head("unknown")));
}

TEST_F(CrowdTest, BodiesInPiecesThatStopShort)
{
    start();
    CrowdScript script = shortBody(head());
    script.filler = std::string(8192, 'a');
    script.pause = 1ms;
    expectBorne(m_callers, script);
}

// Guards against bodies without an announced length that never become whole.
TEST_F(CrowdTest, LargeChunksThatStopShort)
{
    start();
    CrowdScript script;
    script.start = head() + chunked();
    script.filler = chunkOf(LargestBody / 2 - 1);
    script.fillerBytes = 2 * script.filler.size();
    expectBorne(m_callers, script);
}

// Guards against chunks of one byte, of which little is held and much is parsed.
TEST_F(CrowdTest, TinyChunksThatStopShort)
{
    start();
    CrowdScript script;
    script.start = head() + chunked();
    for (int i = 0; i < 1000; ++i)
        script.filler += chunkOf(1);
    script.fillerBytes = LargestBody / 4000 * script.filler.size();
    expectBorne(m_callers, script, 2 * CrowdSize);
}

// Guards against bodies that are announced over the limit and sent all the same.
TEST_F(CrowdTest, BodiesThatAreAnnouncedOverTheLimit)
{
    start();
    CrowdScript script;
    script.start = head() + "Content-Length: 20000000\r\n\r\n";
    script.filler = std::string(65536, 'a');
    script.fillerBytes = 20000000;
    expectBorne(m_callers, script);
}

// Guards against bodies over the limit whose length is not announced.
TEST_F(CrowdTest, BodiesThatAreSentOverTheLimit)
{
    start();
    CrowdScript script;
    script.start = head() + chunked();
    script.filler = chunkOf(65536);
    script.fillerBytes = 20000000;
    expectBorne(m_callers, script);
}

// Guards against heads that never become whole.
TEST_F(CrowdTest, HeadsThatStopShort)
{
    start();
    CrowdScript script;
    script.start = head() + "X-Filler: " + std::string(12000, 'a');
    expectBorne(m_callers, script, 2 * CrowdSize);
}

// Guards against unfinished bodies at the port for other instances, where the idle limit is longer.
TEST_F(CrowdTest, BodiesAtTheForwardPortThatStopShort)
{
    start();
    expectBorne(m_forward, shortBody(head()));
}

// Guards against bodies that wait in the kernel, or are read, behind a request that still runs.
TEST_F(CrowdTest, BodiesBehindARunningRequest)
{
    start(SlowServers);
    CrowdScript script = shortBody(head() + "Content-Length: 0\r\n\r\n" + head());
    script.end = "a";
    expectBorne(m_callers, script);
}

// Guards against large answers that are held for callers that don't read.
TEST_F(CrowdTest, AnswersThatNobodyReads)
{
    start();
    CrowdScript script;
    for (int i = 0; i < 6; ++i)
        script.start += head("secret", "/safe/bytes-300000") + "Content-Length: 0\r\n\r\n";
    script.reads = false;
    expectBorne(m_callers, script, 3 * CrowdSize);
}

// Guards against unfinished bodies at the ports that are there for the platform alone.
TEST_F(CrowdTest, BodiesAtTheReadinessPortThatStopShort)
{
    start();
    expectBorne(m_readiness, shortBody("GET /v1/readyz HTTP/1.1\r\nHost: a\r\n"));
}

TEST_F(CrowdTest, BodiesAtTheMetricsPortThatStopShort)
{
    start();
    expectBorne(m_metrics, shortBody("GET /metrics HTTP/1.1\r\nHost: a\r\n"));
}

// Guards against more connections than the machine has descriptors for, which leave none for
// servers, and behind which ordinary callers wait.
TEST_F(CrowdTest, MoreConnectionsThanTheLimit)
{
    constexpr std::size_t FewDescriptors = 800;
    constexpr std::size_t ManyClients = 900;
    constexpr auto Stay = 12s;
    start(1, FewDescriptors);
    CrowdScript script;
    script.start = head() + "Content-Length: 1000\r\n\r\n";
    script.filler = "a";
    script.fillerBytes = 999;
    script.pause = 1s;
    script.comesBack = true;
    const std::unique_ptr<ProcessWatch> watched = watch();
    const Crowd crowd(m_callers, script, ManyClients);
    std::this_thread::sleep_for(Stay);
    expectServed();
    expectAlive();
    expectWithinMachine(*watched);
}

} // namespace
} // namespace snipestall::crowd
