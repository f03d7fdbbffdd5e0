#pragma once

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace snipestall::crowd {

/// What each connection of a crowd sends, after which it stays open.
struct CrowdScript
{
    std::string start;
    /// Is repeated after `start`, `fillerBytes` bytes in all.
    std::string filler;
    std::size_t fillerBytes = 0;
    std::string end;
    /// Time between two repetitions of `filler`.
    std::chrono::milliseconds pause { 0 };
    /// Whether the connection reads what the process answers.
    bool reads = true;
    /// Whether the client connects again when its connection ends.
    bool comesBack = false;
};

/// Clients that all do the same at once, on a thread of their own, until the crowd is destroyed.
class Crowd
{
public:
    Crowd(wire::Endpoint address, CrowdScript script, std::size_t size);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Waits until each connection has sent all of its script or was closed, for a time at most:
    /// a process need not read what it doesn't take.
    void awaitSent(std::chrono::milliseconds limit) const;

private:
    struct Client;

    wire::Task<void> play(std::shared_ptr<Client> client);
    wire::Task<bool> send(std::shared_ptr<Client> client);
    static wire::Task<void> readAll(std::shared_ptr<Client> client);

    wire::Endpoint m_address;
    CrowdScript m_script;
    std::size_t m_size;
    std::atomic<std::size_t> m_done { 0 };
    std::atomic<bool> m_stopped { false };
    boost::asio::io_context m_io { 1 };
    std::thread m_thread;
};

} // namespace snipestall::crowd
