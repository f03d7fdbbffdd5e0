#include "harness/wait_until.hpp"

#include <thread>

namespace snipestall::harness {

namespace {

constexpr std::chrono::milliseconds PollEvery { 10 };

} // namespace

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(PollEvery);
    }
    return true;
}

} // namespace snipestall::harness
