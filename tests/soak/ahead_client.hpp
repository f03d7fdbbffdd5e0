#pragma once

#include "soak/caller.hpp"
#include "soak/raw_connection.hpp"

#include "snipestall/base/random.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::soak {

class Deployment;

/// A client that sends several requests which may be repeated on one connection, without waiting
/// for the answers, and goes on using the connection until it ends.
class AheadClient : public Caller
{
public:
    AheadClient(boost::asio::io_context &io, const Deployment &deployment, std::size_t number,
                std::uint64_t seed);

    wire::Task<void> run() override;
    void stop() override { m_stopped = true; }
    [[nodiscard]] const std::vector<Attempt> &attempts() const override { return m_attempts; }

private:
    /// Sends a number of requests and reads their answers. Returns whether the connection may be
    /// used further.
    wire::Task<bool> sendBatch(RawConnection &connection);

    boost::asio::io_context &m_io;
    const Deployment &m_deployment;
    Random m_random;
    std::string m_name;
    std::size_t m_gateway;
    std::vector<Attempt> m_attempts;
    bool m_stopped = false;
};

} // namespace snipestall::soak
