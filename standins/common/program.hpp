#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipestall::standins {

/// Parses the command line; leftover arguments are faults and end the process with status 2.
void parseFlags(int argc, char **argv, const std::string &usage);

/// Opens a listener, writes its port to `portFile` (if not empty) as a whole; on failure prints
/// the reason and exits with 1.
std::unique_ptr<wire::HttpServer> listenOrExit(boost::asio::io_context &io,
                                               const std::string &address,
                                               const std::string &portFile,
                                               wire::HttpServer::Handler handler);

/// Prints the reason and exits with 2 if the text is no IP:PORT.
wire::Endpoint endpointOrExit(const std::string &text);

/// Writes through a temporary file, so that a reader sees all of it or nothing.
void writePortFile(const std::string &path, std::uint16_t port);

/// Runs the loop until SIGTERM or SIGINT, then runs `stop` and goes on until the loop is stopped.
void runUntilSignal(boost::asio::io_context &io, const std::function<void()> &stop);

} // namespace snipestall::standins
