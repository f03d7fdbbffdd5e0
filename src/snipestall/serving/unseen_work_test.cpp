#include "snipestall/serving/unseen_work.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

const SteadyTime Start { std::chrono::seconds(100) };

// Guards against chance in the choice of servers where one instance knows all loads.
TEST(UnseenWork, ASingleInstanceSeesEverything)
{
    UnseenWork unseen;
    EXPECT_EQ(unseen.at("lm", 100000, Start), 0);
}

TEST(UnseenWork, GrowsWithTheAgeOfReports)
{
    UnseenWork unseen;
    unseen.setInstances(2);
    EXPECT_NEAR(unseen.at("lm", 100000, Start), 10000, 1);
    unseen.setInstances(100);
    EXPECT_NEAR(unseen.at("lm", 100000, Start), 39600, 1);
}

// Guards against prompts with cached parts that are spread because of others that have such parts:
// these go to their own servers.
TEST(UnseenWork, PromptsThatAreBoundToTheirServersDoNotCount)
{
    UnseenWork unseen;
    unseen.setInstances(2);
    unseen.promptSent("lm", 7500, 5000, Start);
    unseen.promptSent("lm", 2500, 200, Start);
    EXPECT_NEAR(unseen.at("lm", 100000, Start), 2500, 1);
}

} // namespace
} // namespace snipestall::serving
