#pragma once

#include "snipestall/admin/metrics.hpp"

namespace snipestall::entry {
class Node;
}

namespace snipestall::admin {

/// Collects the counters that the components of an instance maintain, for Metrics::setTotals().
InstanceTotals collectTotals(entry::Node &node);

} // namespace snipestall::admin
