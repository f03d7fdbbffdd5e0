#pragma once

#include "mix.hpp"
#include "results.hpp"

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_client.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace snipestall::load {

/// Resources shared by all calls of a phase. The referenced objects outlive the calls.
struct CallContext
{
    /// Target of a number; numbers beyond the last target start again at the first.
    [[nodiscard]] const wire::Endpoint &target(std::size_t number) const
    {
        return targets[number % targets.size()];
    }

    wire::HttpClient &client;
    const Mix &mix;
    Results &results;
    std::vector<wire::Endpoint> targets;
    /// Customer's key of calls whose class of work has none.
    std::string key;
    /// How long after the deadline of an accepted request a caller still tries to resume it.
    std::chrono::milliseconds patience { 30000 };
};

} // namespace snipestall::load
