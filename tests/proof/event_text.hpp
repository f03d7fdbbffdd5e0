#pragma once

#include <string>
#include <vector>

namespace snipestall::harness {

/// The pieces of a streamed answer, joined in the order in which they came.
std::string eventText(const std::string &body);
/// The offsets that the events of a streamed answer carry, in order.
std::vector<int> eventOffsets(const std::string &body);
std::vector<int> offsetsFrom(int first, int end);

} // namespace snipestall::harness
