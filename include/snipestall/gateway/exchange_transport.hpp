#pragma once

#include "snipestall/base/result.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace snipestall::exchange::v1 {
class LoadReport;
}

namespace snipestall::gateway {

/// Receives the reports of peers and answers them. The threads of gRPC only transfer bytes; the
/// handler runs on the I/O loop.
class ExchangeServer
{
public:
    /// Handles a report of a peer. The second argument is the reply to be filled in; it is null if
    /// the peer no longer waits for it.
    using Handler =
        std::function<void(const exchange::v1::LoadReport &, exchange::v1::LoadReport *)>;

    static Result<std::unique_ptr<ExchangeServer>>
    create(boost::asio::io_context &io, const std::string &address, Handler handler);
    ~ExchangeServer();

private:
    struct State;
    explicit ExchangeServer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

/// Connection for sending reports to one peer.
class ExchangeChannel
{
public:
    ExchangeChannel(boost::asio::io_context &io, const std::string &address);
    ~ExchangeChannel();

    /// Receives the report of the peer. Errors: DeadlineExceeded if the peer did not answer in
    /// time, Unavailable if the connection failed.
    using Done = std::function<void(const Result<const exchange::v1::LoadReport *> &)>;

    /// Sends a report. Calls `done` on the I/O loop within about `timeout`.
    void send(const exchange::v1::LoadReport &report, std::chrono::milliseconds timeout, Done done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipestall::gateway
