#include "harness/topology_test_base.hpp"
#include "proof/caller.hpp"

#include <string>
#include <utility>

namespace snipestall::harness {
namespace {

class BadInputTest : public TopologyTest
{
protected:
    Answer send(wire::HttpRequest request)
    {
        return call(topology().callers("north-1"), std::move(request));
    }

    /// Expects an answer with this status in the common error envelope, whose message contains
    /// `remedy`.
    static void expectRefusal(const Answer &answer, int status, const std::string &remedy)
    {
        EXPECT_EQ(answer.status, status) << answer.toString();
        EXPECT_NE(answer.body.find(R"({"error":{"type":)"), std::string::npos) << answer.body;
        EXPECT_NE(answer.body.find(remedy), std::string::npos) << answer.body;
    }
};

// Guards against invalid requests that get no usable answer or stop the instance: a caller makes
// each possible mistake, and must get a status that its client library knows and a message that
// says how to correct the request. The instance must go on serving other requests.
TEST_F(BadInputTest, EachMistakeIsNamedAndTheInstanceGoesOn)
{
    start(TopologySpec::small());
    const std::string path = "/v1/chat/completions";
    expectRefusal(send(customerRequest("POST", path, "{")), 400, "JSON object");
    expectRefusal(send(customerRequest("POST", path, R"({"model":"writer"})")), 400, "messages");
    const std::string unknown = R"({"model":"nobody","messages":[{"content":"x"}]})";
    expectRefusal(send(customerRequest("POST", path, unknown)), 404, "GET /v1/models");
    expectRefusal(send(customerRequest("POST", path, std::string(5 << 20, 'x'))), 413, "shorter");
    expectRefusal(send(customerRequest("GET", path)), 405, "POST");
    wire::HttpRequest stranger = customerRequest("GET", "/v1/models");
    stranger.fields.set("Authorization", "Bearer nobody's key");
    expectRefusal(send(stranger), 401, "Authorization");
    wire::HttpRequest hurried = completion("prompt", 4, false);
    hurried.fields.set("Snipestall-Deadline-Ms", "0");
    expectRefusal(send(hurried), 400, "Snipestall-Deadline-Ms");
    EXPECT_TRUE(send(completion("prompt", 4, false)).completed());
}

} // namespace
} // namespace snipestall::harness
