#pragma once

#include "soak/caller.hpp"

#include "snipestall/base/random.hpp"
#include "snipestall/wire/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace snipestall::soak {

class Deployment;

/// A client that sends one request after the other until stop() is called. It reuses its
/// connection for as long as the connection lasts, also to a gateway that is shutting down.
class Client : public Caller
{
public:
    Client(boost::asio::io_context &io, const Deployment &deployment, std::size_t number,
           std::uint64_t seed, bool floods = false);

    wire::Task<void> run() override;
    void stop() override { m_stopped = true; }
    [[nodiscard]] const std::vector<Attempt> &attempts() const override { return m_attempts; }

private:
    Attempt nextAttempt();
    /// Time until the next request. Some connections stay idle for most of the time allowed.
    std::chrono::milliseconds nextPause();
    /// Takes up a stream that has broken off, at one instance after the other.
    wire::Task<void> takeUp(Attempt broken);
    /// Sends an attempt and records it.
    wire::Task<void> record(Attempt &attempt);
    wire::Task<void> send(Attempt &attempt);

    const Deployment &m_deployment;
    wire::HttpClient m_http;
    Random m_random;
    /// It belongs to the flooding customer and sends only during a flood.
    bool m_floods;
    std::string m_name;
    std::size_t m_gateway;
    std::vector<Attempt> m_attempts;
    bool m_stopped = false;
};

} // namespace snipestall::soak
