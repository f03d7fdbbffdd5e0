#pragma once

#include "snipestall/admin/metrics.hpp"

namespace snipestall::entry {
class Node;
}

namespace snipestall::admin {

/// The counters that an instance's parts keep, for Metrics::setTotals.
InstanceTotals totalsOf(entry::Node &node);

} // namespace snipestall::admin
