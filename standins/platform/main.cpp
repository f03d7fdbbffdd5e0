#include "common/program.hpp"
#include "platform/platform.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on");
DEFINE_string(port_file, "", "file to write the bound port to");
DEFINE_double(writes_per_second, 0, "maximum rows written per second; 0: no limit");
DEFINE_double(reads_per_second, 0, "maximum rows read per second; 0: no limit");
DEFINE_double(weights_mb, 100, "size of the weights of each model, in MB");
DEFINE_double(weights_mb_per_second, 0, "rate of the weight store, in MB per second; 0: no limit");

using namespace snipestall;

int main(int argc, char **argv)
{
    standins::parseFlags(argc, argv, "stand-in for the platform's services");
    boost::asio::io_context io;
    const standins::PlatformOptions options { FLAGS_writes_per_second, FLAGS_reads_per_second,
                                              FLAGS_weights_mb, FLAGS_weights_mb_per_second };
    standins::Platform platform(io, options);
    const auto serve = [&platform](wire::HttpExchange &exchange) {
        return platform.serve(exchange);
    };
    const auto server = standins::listenOrExit(io, FLAGS_listen, FLAGS_port_file, serve);
    standins::runUntilSignal(io, [&io] { io.stop(); });
    return 0;
}
