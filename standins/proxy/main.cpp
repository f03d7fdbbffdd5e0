#include "common/program.hpp"
#include "proxy/proxy.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on");
DEFINE_string(port_file, "", "file to write the bound port to");
DEFINE_string(target, "", "IP:PORT to forward connections to");
DEFINE_string(control, "127.0.0.1:0", "IP:PORT to listen on for control calls");
DEFINE_string(control_port_file, "", "file to write the bound port of the control listener to");

using namespace snipestall;

int main(int argc, char **argv)
{
    standins::parseFlags(argc, argv, "TCP proxy that injects faults");
    boost::asio::io_context io;
    const auto listen = standins::endpointOrExit(FLAGS_listen);
    const auto target = standins::endpointOrExit(FLAGS_target);
    const auto proxy = standins::Proxy::create(io, listen, target);
    if (!proxy) {
        std::cerr << proxy.error().message << '\n';
        return 1;
    }
    const auto control = standins::listenOrExit(
        io, FLAGS_control, FLAGS_control_port_file,
        [&proxy](wire::HttpExchange &exchange) { return (*proxy)->serve(exchange); });
    standins::writePortFile(FLAGS_port_file, (*proxy)->endpoint().port);
    boost::asio::co_spawn(io, (*proxy)->acceptAll(), boost::asio::detached);
    standins::runUntilSignal(io, [&io] { io.stop(); });
    return 0;
}
