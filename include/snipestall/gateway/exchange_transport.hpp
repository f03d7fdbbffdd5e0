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

/// Answers peers' reports. gRPC's threads only carry bytes; the handler runs on the I/O loop.
class ExchangeServer
{
public:
    /// Takes a peer's report. The second is to be filled in as the answer; null if the peer does
    /// not wait for it any more.
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

/// One peer to send reports to.
class ExchangeChannel
{
public:
    ExchangeChannel(boost::asio::io_context &io, const std::string &address);
    ~ExchangeChannel();

    /// Calls back on the I/O loop with the peer's report, or null if it did not answer in time.
    void send(const exchange::v1::LoadReport &report, std::chrono::milliseconds timeout,
              std::function<void(const exchange::v1::LoadReport *)> done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipestall::gateway
