#pragma once

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <cstddef>
#include <string>

namespace snipestall::gateway {

/// What a caller writes on a connection of its own.
struct RawRequest
{
    std::string bytes;
    /// Written again and again after `bytes`, until the connection is closed or `maxFiller` bytes
    /// have been written; nothing is if it is empty.
    std::string filler;
    std::size_t maxFiller = std::size_t { 32 } * 1024 * 1024;
    /// Whether the sending side is ended after all of it.
    bool endAfter = false;
};

/// What became of it.
struct RawExchange
{
    /// All bytes that came back.
    std::string answer;
    /// Bytes of filler that were written.
    std::size_t filler = 0;
    /// Whether the gateway closed the connection before the time limit.
    bool closed = false;
};

/// Writes the bytes while it reads what comes back, until the connection is closed or a few seconds
/// have passed.
wire::Task<RawExchange> exchangeRaw(wire::Endpoint address, RawRequest request);

} // namespace snipestall::gateway
