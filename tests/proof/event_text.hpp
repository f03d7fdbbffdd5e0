#pragma once

#include <string>
#include <vector>

namespace snipestall::harness {

/// Joins the pieces of a streamed answer in the order in which they were received.
std::string eventText(const std::string &body);
/// Returns the offsets of the events of a streamed answer, in order.
std::vector<int> eventOffsets(const std::string &body);
std::vector<int> offsetsFrom(int first, int end);

} // namespace snipestall::harness
