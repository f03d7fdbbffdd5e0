#pragma once

#include "snipestall/base/result.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace snipestall::gateway {

/// Ends a call to a peer once: with its outcome, or at its deadline, whichever comes first.
///
/// gRPC has deadlines, too, but does not report the end of a call before its last write has ended.
/// While a link is full that takes many seconds, in which the caller would neither call the peer
/// again nor turn to another one.
template<typename Answer>
class CallEnd : public std::enable_shared_from_this<CallEnd<Answer>>
{
public:
    using Done = std::function<void(const Result<const Answer *> &)>;

    /// `cancel` is called at the deadline, before `done`.
    CallEnd(boost::asio::io_context &io, Done done, std::function<void()> cancel)
        : m_timer(io)
        , m_done(std::move(done))
        , m_cancel(std::move(cancel))
    { }

    void startDeadline(std::chrono::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = this->shared_from_this()](const auto &error) {
            if (error)
                return;
            if (self->m_cancel)
                self->m_cancel();
            self->end(fail(ErrorKind::DeadlineExceeded,
                           "no answer in time; check that the peer is up and can be reached"));
        });
    }

    /// Called on the I/O loop. The first outcome counts, later ones are ignored.
    void end(const Result<const Answer *> &outcome)
    {
        const Done done = std::exchange(m_done, nullptr);
        m_cancel = nullptr;
        m_timer.cancel();
        if (done)
            done(outcome);
    }

private:
    boost::asio::steady_timer m_timer;
    Done m_done;
    std::function<void()> m_cancel;
};

} // namespace snipestall::gateway
