#pragma once

#include <cstddef>
#include <cstdint>

namespace snipestall::wire {

/// Bounds the bytes of a message that belong to neither its head nor its body: the lines before
/// chunks, their extensions, and the trailer section.
///
/// Failure it guards against: a peer sends an extension or a trailer section without end, which has
/// to be held in memory until it is whole, or little of a body in a great many such bytes.
class FramingBudget
{
public:
    /// Longest line before a chunk, and longest trailer section.
    static constexpr std::size_t MaxUnitBytes = 16 * 1024;
    /// Framing that any message may have.
    static constexpr std::uint64_t FreeBytes = 16 * 1024;
    /// Framing for each byte of the body. A chunk of one byte has five or six.
    static constexpr std::uint64_t BytesPerBodyByte = 16;

    void addBody(std::size_t bytes) { m_body += bytes; }
    /// Counts bytes that were read and belong to no body.
    void addFraming(std::size_t bytes)
    {
        m_framing += bytes;
        m_exceeded = m_exceeded || bytes > MaxUnitBytes;
    }
    /// Returns true if the message has too much framing. `pending`: bytes of a line or a trailer
    /// section that is not whole yet.
    [[nodiscard]] bool isExceeded(std::size_t pending) const
    {
        return m_exceeded || pending > MaxUnitBytes
            || m_framing + pending > FreeBytes + BytesPerBodyByte * m_body;
    }

private:
    std::uint64_t m_body = 0;
    std::uint64_t m_framing = 0;
    bool m_exceeded = false;
};

} // namespace snipestall::wire
