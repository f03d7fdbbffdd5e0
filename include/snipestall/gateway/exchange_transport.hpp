#pragma once

#include "snipestall/base/result.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace snipestall::exchange::v1 {
class ChangesAnswer;
class ChangesRequest;
class LoadReport;
class StreamAnswer;
class StreamQuery;
} // namespace snipestall::exchange::v1

namespace snipestall::gateway {

/// Receives the reports and requests of peers and answers them. The threads of gRPC only transfer
/// bytes; the handlers run on the I/O loop.
class ExchangeServer
{
public:
    /// Each handles a message of a peer. The second argument is the answer to be filled in; it is
    /// null if the peer no longer waits for it.
    struct Handlers
    {
        std::function<void(const exchange::v1::LoadReport &, exchange::v1::LoadReport *)> report;
        std::function<void(const exchange::v1::ChangesRequest &, exchange::v1::ChangesAnswer *)>
            changes;
        std::function<void(const exchange::v1::StreamQuery &, exchange::v1::StreamAnswer *)>
            streams;
    };

    static Result<std::unique_ptr<ExchangeServer>>
    create(boost::asio::io_context &io, const std::string &address, Handlers handlers);
    ~ExchangeServer();

private:
    struct State;
    explicit ExchangeServer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

/// Connection for calls to one peer.
class ExchangeChannel
{
public:
    ExchangeChannel(boost::asio::io_context &io, const std::string &address);
    ~ExchangeChannel();

    /// Receives the answer of the peer. Errors: DeadlineExceeded if the peer did not answer in
    /// time, Unavailable if the connection failed.
    template<typename Answer>
    using Done = std::function<void(const Result<const Answer *> &)>;

    /// Sends a report. Calls `done` on the I/O loop within about `timeout`.
    void send(const exchange::v1::LoadReport &report, std::chrono::milliseconds timeout,
              Done<exchange::v1::LoadReport> done);
    /// Requests a part of the changes of a table, as `send`.
    void fetch(const exchange::v1::ChangesRequest &request, std::chrono::milliseconds timeout,
               Done<exchange::v1::ChangesAnswer> done);
    /// Asks for the origin of a stream, as `send`.
    void find(const exchange::v1::StreamQuery &query, std::chrono::milliseconds timeout,
              Done<exchange::v1::StreamAnswer> done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipestall::gateway
