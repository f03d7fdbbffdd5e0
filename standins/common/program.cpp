#include "common/program.hpp"

#include <boost/asio/signal_set.hpp>

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace snipestall::standins {

namespace asio = boost::asio;

void parseFlags(int argc, char **argv, const std::string &usage)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
        std::cerr << "unexpected argument '" << argv[1] << "'; see --help\n";
        std::exit(2);
    }
}

wire::Endpoint endpointOrExit(const std::string &text)
{
    auto endpoint = wire::Endpoint::parse(text);
    if (!endpoint) {
        std::cerr << endpoint.error().message << '\n';
        std::exit(2);
    }
    return std::move(*endpoint);
}

std::unique_ptr<wire::HttpServer> listenOrExit(asio::io_context &io, const std::string &address,
                                               const std::string &portFile,
                                               wire::HttpServer::Handler handler)
{
    auto server = wire::HttpServer::create(io, endpointOrExit(address), std::move(handler));
    if (!server) {
        std::cerr << server.error().message << '\n';
        std::exit(1);
    }
    writePortFile(portFile, (*server)->endpoint().port);
    std::cerr << "listening on " << (*server)->endpoint().toString() << '\n';
    return std::move(*server);
}

void writePortFile(const std::string &path, std::uint16_t port)
{
    if (path.empty())
        return;
    const std::string partial = path + ".partial";
    std::ofstream(partial) << port << '\n';
    std::rename(partial.c_str(), path.c_str());
}

void runUntilSignal(asio::io_context &io, const std::function<void()> &stop)
{
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&stop](const boost::system::error_code &ec, int) {
        if (!ec)
            stop();
    });
    io.run();
}

} // namespace snipestall::standins
