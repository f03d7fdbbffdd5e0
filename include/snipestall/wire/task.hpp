#pragma once

#include <boost/asio/awaitable.hpp>

namespace snipestall::wire {

/// A coroutine of the I/O loop. GCC 12 destroys braced temporaries inside a co_await expression
/// twice; build arguments in named variables first.
template<typename T>
using Task = boost::asio::awaitable<T>;

} // namespace snipestall::wire
