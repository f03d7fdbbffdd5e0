#pragma once

#include <boost/asio/io_context.hpp>

namespace snipestall::gateway {

/// A loop whose suspended tasks can be destroyed before the gateway that they refer to.
class TestLoop : public boost::asio::io_context
{
public:
    using io_context::io_context;
    /// The loop runs nothing after this.
    void destroyTasks() { shutdown(); }
};

} // namespace snipestall::gateway
