#pragma once

#include "snipestall/wire/http_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <thread>

namespace snipestall::ctl {

/// An HTTP server on loopback with its own event loop and thread, because the client blocks.
class TestServer
{
public:
    explicit TestServer(wire::HttpServer::Handler handler)
        : m_server(wire::HttpServer::create(m_io, { "127.0.0.1", 0 }, std::move(handler)).value())
        , m_thread([this] { m_io.run(); })
    { }

    ~TestServer()
    {
        m_io.stop();
        m_thread.join();
    }

    [[nodiscard]] wire::Endpoint endpoint() const { return m_server->endpoint(); }
    boost::asio::io_context &io() { return m_io; }

    /// Runs `work` on the server's thread and waits until it is done.
    template<typename Work>
    void onLoop(Work work)
    {
        std::promise<void> done;
        boost::asio::post(m_io, [&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work {
        m_io.get_executor()
    };
    std::unique_ptr<wire::HttpServer> m_server;
    std::thread m_thread;
};

} // namespace snipestall::ctl
