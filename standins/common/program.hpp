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

/// Parses the command line. Exits with status 2 on a positional argument.
void parseFlags(int argc, char **argv, const std::string &usage);

/// Opens a listener and writes its port to `portFile` (if not empty) atomically. On failure, prints
/// the reason and exits with status 1.
std::unique_ptr<wire::HttpServer> listenOrExit(boost::asio::io_context &io,
                                               const std::string &address,
                                               const std::string &portFile,
                                               wire::HttpServer::Handler handler);

/// Parses IP:PORT. On failure, prints the reason and exits with status 2.
wire::Endpoint endpointOrExit(const std::string &text);

/// Writes the port through a temporary file, so that a reader sees the whole content or no file.
/// Does nothing if `path` is empty.
void writePortFile(const std::string &path, std::uint16_t port);

/// Runs the event loop. Calls `stop` on SIGTERM or SIGINT and returns once the loop is stopped.
void runUntilSignal(boost::asio::io_context &io, const std::function<void()> &stop);

} // namespace snipestall::standins
