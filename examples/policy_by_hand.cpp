// The policy without sockets: one backend server with one slot, two requests. The first is
// dispatched, the second waits; when the first ends the second is dispatched.

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

std::shared_ptr<const settings::EffectiveSettings> oneService()
{
    auto view = std::make_shared<settings::EffectiveSettings>();
    view->version = 1;
    view->dataCentre = "samsun-hall";
    settings::ServiceSettings service;
    service.service = "language";
    service.urgentReserve = 0;
    view->services.push_back(service);
    settings::LeafSettings leaf;
    leaf.customer = "harbour-office";
    leaf.service = "language";
    view->leaves.push_back(leaf);
    return view;
}

policy::RequestArrived request(std::uint64_t number, policy::Time now)
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

/// Steps once, prints the dispatches and returns the last attempt.
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
    const auto first = step(
        *world, start,
        { policy::SettingsChanged { oneService() }, server, request(1, start), request(2, start) });
    policy::AttemptEnded ended;
    ended.request = { 1 };
    ended.attempt = first;
    step(*world, start + 2s, { ended });
}
