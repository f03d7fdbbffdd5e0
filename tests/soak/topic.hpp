#pragma once

#include <optional>
#include <string>

namespace snipestall::soak {

/// What a run tests. All topics but the first have faults and callers of their own and no others,
/// so that strict checks hold for every request.
enum class Topic {
    /// Faults of all kinds.
    AllFaults,
    /// Backend servers that are silent for a short time, beside changes of the configuration.
    SilentServers,
    /// Servers and callers that send a part of a message without end.
    EndlessMessages,
    /// Callers that send several requests ahead on a connection, while gateways are stopped.
    RequestsAhead,
    /// Streams of several software versions that go on after all gateways were killed.
    StreamsAfterKills,
    /// A crowd of clients that don't finish their requests, while gateways are stopped.
    UnfinishedRequests,
};

/// The topic of this name; nothing if there is none.
std::optional<Topic> topicNamed(const std::string &name);
std::string nameOf(Topic topic);

} // namespace snipestall::soak
