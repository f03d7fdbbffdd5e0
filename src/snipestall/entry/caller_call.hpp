#pragma once

#include "snipestall/entry/caller_api.hpp"
#include "snipestall/settings/effective_settings.hpp"
#include "snipestall/wire/http_request.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace snipestall::entry {

/// One HTTP call of an authenticated caller.
struct CallerApi::Call
{
    wire::HttpExchange &exchange;
    const wire::HttpRequest &request;
    std::shared_ptr<const settings::EffectiveSettings> settings;
    std::string customer;
    /// First offset that the caller wants.
    std::uint64_t from = 0;
};

} // namespace snipestall::entry
