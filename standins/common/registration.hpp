#pragma once

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::standins {

/// Entry of a backend server in the platform's instance list.
struct InstanceRecord
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string address;
    std::string dataCentre;
    std::string service;
    std::string instanceClass;
};

/// Adds a backend server to the platform's instance list and removes it, as the cloud would.
class Registration
{
public:
    /// If `platform` is empty, add() and remove() do nothing.
    Registration(boost::asio::io_context &io, std::optional<wire::Endpoint> platform);

    /// Retries until the platform accepts the entry.
    wire::Task<void> add(InstanceRecord record);
    /// Tries only once, because a platform that is down must not delay the shutdown.
    wire::Task<void> remove(std::string name);

private:
    wire::HttpClient m_client;
    std::optional<wire::Endpoint> m_platform;
};

/// Returns an incarnation number from the clock (milliseconds since the epoch), so that it grows
/// with each start of a process.
std::uint64_t incarnationFromClock();

} // namespace snipestall::standins
