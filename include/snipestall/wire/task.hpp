#pragma once

#include <boost/asio/awaitable.hpp>

namespace snipestall::wire {

/// A coroutine on the I/O loop. GCC 12 destroys brace-initialized temporaries in a co_await
/// expression twice, so arguments must be built in named variables first.
template<typename T>
using Task = boost::asio::awaitable<T>;

} // namespace snipestall::wire
