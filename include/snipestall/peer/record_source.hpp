#pragma once

#include "snipestall/peer/messages.hpp"
#include <cstdint>
#include <string>

namespace snipestall::peer {

/// An accepted request as its home keeps it, seen by the keeper of copies.
class RecordSource
{
public:
    virtual ~RecordSource() = default;

    [[nodiscard]] virtual const std::string &requestId() const = 0;
    /// Pieces of output so far, plus one for a final answer: what a copy must reach.
    [[nodiscard]] virtual std::uint64_t progress() const = 0;
    /// The record with output from `from` on; with the body and all else when `whole`.
    [[nodiscard]] virtual v1::RequestRecord record(bool whole, std::uint64_t from) const = 0;
};

} // namespace snipestall::peer
