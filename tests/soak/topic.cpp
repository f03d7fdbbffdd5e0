#include "soak/topic.hpp"

#include <algorithm>
#include <array>

namespace snipestall::soak {

namespace {

struct TopicEntry
{
    Topic topic;
    const char *name;
};

constexpr std::array<TopicEntry, 6> Topics { {
    { Topic::AllFaults, "all-faults" },
    { Topic::SilentServers, "silent-servers" },
    { Topic::EndlessMessages, "endless-messages" },
    { Topic::RequestsAhead, "requests-ahead" },
    { Topic::StreamsAfterKills, "streams-after-kills" },
    { Topic::UnfinishedRequests, "unfinished-requests" },
} };

} // namespace

std::optional<Topic> topicNamed(const std::string &name)
{
    const auto *found = std::ranges::find(
        Topics, name, [](const TopicEntry &entry) { return std::string(entry.name); });
    if (found == Topics.end())
        return std::nullopt;
    return found->topic;
}

std::string nameOf(Topic topic)
{
    return std::ranges::find(Topics, topic, &TopicEntry::topic)->name;
}

} // namespace snipestall::soak
