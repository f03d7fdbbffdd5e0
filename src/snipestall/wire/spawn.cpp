#include "snipestall/wire/spawn.hpp"

#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <exception>
#include <memory>
#include <string>
#include <utility>

namespace snipestall::wire {

namespace asio = boost::asio;

namespace {

/// Bounds the lines of a task that fails each time it begins.
constexpr std::chrono::seconds RestartPause { 1 };
constexpr std::size_t MaxErrorBytes = 200;

void logException(const std::string &task, const std::exception_ptr &exception)
{
    std::string text = "unknown";
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        text = std::string(error.what()).substr(0, MaxErrorBytes);
    } catch (...) {
        // Not a class of the standard library; there is no text.
    }
    logEvent(events::UnexpectedException, { { "task", task }, { "error", text } });
}

/// Logs the exception of a task that has ended, if there is one.
class LogEnd
{
public:
    explicit LogEnd(std::string_view name)
        : m_name(name)
    { }

    void operator()(const std::exception_ptr &exception) const
    {
        if (exception)
            logException(m_name, exception);
    }

private:
    std::string m_name;
};

struct Loop
{
    asio::io_context &io;
    std::function<Task<void>()> task;
    std::string name;
    asio::steady_timer pause;
};

void begin(const std::shared_ptr<Loop> &loop)
{
    asio::co_spawn(loop->io, loop->task(), [loop](const std::exception_ptr &exception) {
        if (!exception)
            return;
        logException(loop->name, exception);
        loop->pause.expires_after(RestartPause);
        loop->pause.async_wait([loop](const boost::system::error_code &error) {
            if (!error)
                begin(loop);
        });
    });
}

} // namespace

void spawn(asio::io_context &io, Task<void> task, std::string_view name)
{
    asio::co_spawn(io, std::move(task), LogEnd(name));
}

void spawn(asio::io_context &io, std::function<Task<void>()> task, std::string_view name)
{
    asio::co_spawn(io, std::move(task), LogEnd(name));
}

void spawnLoop(asio::io_context &io, std::function<Task<void>()> loop, std::string_view name)
{
    begin(std::make_shared<Loop>(
        Loop { io, std::move(loop), std::string(name), asio::steady_timer(io) }));
}

void runLoop(asio::io_context &io)
{
    while (true) {
        try {
            io.run();
            return;
        } catch (...) {
            logException("loop", std::current_exception());
        }
    }
}

} // namespace snipestall::wire
