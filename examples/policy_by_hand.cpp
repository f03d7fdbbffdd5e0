// Runs the policy without sockets, with one backend server of one slot and two requests. The first
// request is dispatched and the second waits. When the first ends, the second is dispatched.

#include "snipestall/policy/world.hpp"
#include "snipestall/settings/effective_settings.hpp"

#include <iostream>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace {

using namespace snipestall;
using namespace std::chrono_literals;

std::shared_ptr<const settings::EffectiveSettings> makeSettings()
{
    auto effective = std::make_shared<settings::EffectiveSettings>();
    effective->version = 1;
    effective->dataCentre = "samsun-hall";
    settings::ServiceSettings service;
    service.service = "language";
    service.urgentReserve = 0;
    effective->services.push_back(service);
    settings::LeafSettings leaf;
    leaf.customer = "harbour-office";
    leaf.service = "language";
    effective->leaves.push_back(leaf);
    return effective;
}

policy::RequestArrived makeRequest(std::uint64_t number, policy::Time now)
{
    policy::RequestArrived event;
    event.request = { number };
    event.customer = "harbour-office";
    event.service = "language";
    event.urgency = policy::Urgency::Patient;
    event.promptTokens = 40;
    event.maxTokens = 100;
    event.deadline = now + 60s;
    return event;
}

/// Passes the events to the policy, prints each dispatch and returns the attempt of the last one.
policy::AttemptHandle step(policy::World &world, policy::Time now,
                           std::vector<policy::Event> events)
{
    std::vector<policy::Command> commands;
    world.step(now, events, commands);
    policy::AttemptHandle last;
    for (const policy::Command &command : commands) {
        if (const auto *dispatch = std::get_if<policy::Dispatch>(&command)) {
            last = dispatch->attempt;
            std::cout << "request " << dispatch->request.value << " goes to server "
                      << dispatch->server.value << '\n';
        }
    }
    return last;
}

} // namespace

int main()
{
    const auto world = policy::World::create("samsun-hall", 1);
    const policy::Time start { 1h };
    policy::ServerUp server;
    server.server = { 1 };
    server.service = "language";
    server.dataCentre = "samsun-hall";
    server.slots = 1;
    const auto firstAttempt = step(*world, start,
                                   { policy::SettingsChanged { makeSettings() }, server,
                                     makeRequest(1, start), makeRequest(2, start) });
    policy::AttemptEnded ended;
    ended.request = { 1 };
    ended.attempt = firstAttempt;
    step(*world, start + 2s, { ended });
}
