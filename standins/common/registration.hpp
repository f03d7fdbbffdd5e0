#pragma once

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_client.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::standins {

/// What a backend server tells the platform's instance list about itself.
struct Listing
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string address;
    std::string dataCentre;
    std::string service;
    std::string instanceClass;
};

/// Keeps a backend server in the platform's instance list, as the cloud would.
class Registration
{
public:
    /// Without a platform every call does nothing.
    Registration(boost::asio::io_context &io, std::optional<wire::Endpoint> platform);

    /// Tries until the platform answers.
    wire::Task<void> add(Listing listing);
    /// Tries once: a platform that is down must not hold up a stop.
    wire::Task<void> remove(std::string name);

private:
    wire::HttpClient m_client;
    std::optional<wire::Endpoint> m_platform;
};

/// An incarnation number that grows with each start of a process.
std::uint64_t freshIncarnation();

} // namespace snipestall::standins
