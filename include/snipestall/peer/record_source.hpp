#pragma once

#include "snipestall/peer/messages.hpp"
#include <cstdint>
#include <string>

namespace snipestall::peer {

/// RecordKeeper's interface to an accepted request at its home.
class RecordSource
{
public:
    virtual ~RecordSource() = default;

    [[nodiscard]] virtual const std::string &requestId() const = 0;
    /// Number of output pieces so far, plus one for a final answer. A copy is complete when it has
    /// reached this number.
    [[nodiscard]] virtual std::uint64_t progress() const = 0;
    /// The record with the output from `from` on, and, if `whole` is set, with the body and all
    /// other fields.
    [[nodiscard]] virtual v1::RequestRecord record(bool whole, std::uint64_t from) const = 0;
};

} // namespace snipestall::peer
