#pragma once

#include "mix.hpp"
#include "results.hpp"

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_client.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace snipestall::load {

/// What every call of a phase works with; all outlive it.
struct CallContext
{
    [[nodiscard]] const wire::Endpoint &target(std::size_t number) const
    {
        return targets[number % targets.size()];
    }

    wire::HttpClient &client;
    const Mix &mix;
    Results &results;
    std::vector<wire::Endpoint> targets;
    std::string key;
    /// How long a caller goes on coming back for an accepted request beyond its deadline.
    std::chrono::milliseconds patience { 30000 };
};

} // namespace snipestall::load
