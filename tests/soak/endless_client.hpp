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

/// A client that sends bodies in chunks, with trailers and extensions, some of them without end,
/// and calls servers that answer without end.
class EndlessClient : public Caller
{
public:
    EndlessClient(boost::asio::io_context &io, const Deployment &deployment, std::size_t number,
                  std::uint64_t seed);

    wire::Task<void> run() override;
    void stop() override { m_stopped = true; }
    [[nodiscard]] const std::vector<Attempt> &attempts() const override { return m_attempts; }

private:
    struct Form
    {
        /// What follows the first fields of the request.
        std::string rest;
        /// Is repeated after that, for `size` bytes in all.
        std::string endless;
        std::size_t size = 0;
        /// A gateway has to accept the request.
        bool proper = false;
    };

    Form drawForm();
    wire::Task<void> send(Form form);
    /// Calls a server that answers without end.
    wire::Task<void> callEndlessServer();

    boost::asio::io_context &m_io;
    const Deployment &m_deployment;
    Random m_random;
    std::string m_name;
    std::size_t m_gateway;
    std::size_t m_calls = 0;
    std::vector<Attempt> m_attempts;
    bool m_stopped = false;
};

} // namespace snipestall::soak
