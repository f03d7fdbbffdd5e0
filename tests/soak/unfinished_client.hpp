#pragma once

#include "soak/caller.hpp"
#include "soak/raw_connection.hpp"

#include "snipestall/base/random.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace snipestall::soak {

class Deployment;

/// A client that begins requests with large bodies, doesn't finish them, and keeps its connection
/// until it ends.
class UnfinishedClient : public Caller
{
public:
    UnfinishedClient(boost::asio::io_context &io, const Deployment &deployment, std::size_t number,
                     std::uint64_t seed);

    wire::Task<void> run() override;
    void stop() override { m_stopped = true; }
    /// None: no request of it may run or be served.
    [[nodiscard]] const std::vector<Attempt> &attempts() const override { return m_attempts; }

private:
    /// The part of a request that is sent.
    std::string drawRequest();
    wire::Task<void> send(std::string request);

    boost::asio::io_context &m_io;
    const Deployment &m_deployment;
    Random m_random;
    std::string m_name;
    std::size_t m_gateway;
    std::vector<Attempt> m_attempts;
    bool m_stopped = false;
};

} // namespace snipestall::soak
