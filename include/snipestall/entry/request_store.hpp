#pragma once

#include "snipestall/entry/request.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::entry {

struct RequestStoreOptions
{
    /// How long a finished answer can be fetched again.
    std::chrono::seconds keepFinished { 120 };
    /// Finished answers above this are dropped, oldest first. Bytes; part of the node's 32 MB.
    std::size_t maxFinishedBytes = 8ULL * 1024 * 1024;
};

/// The requests of this instance, by id, by handle and by caller's key.
class RequestStore
{
public:
    using Options = RequestStoreOptions;

    explicit RequestStore(Options options = {});

    /// Is told of every request that is added from now on and that this instance answers for.
    void observe(std::shared_ptr<RequestObserver> observer) { m_observer = std::move(observer); }

    policy::RequestHandle nextHandle();
    void add(const RequestPtr &request);
    void remove(const RequestPtr &request);
    [[nodiscard]] RequestPtr find(const std::string &id) const;
    [[nodiscard]] RequestPtr find(policy::RequestHandle handle) const;
    /// The request that a caller's key belongs to, so that a repeat joins it.
    [[nodiscard]] RequestPtr findByKey(const std::string &customer, const std::string &service,
                                       const std::string &key) const;
    /// Finished requests whose time is over; they are gone from here afterwards.
    std::vector<RequestPtr> expire(std::chrono::steady_clock::time_point now);
    [[nodiscard]] std::vector<RequestPtr> unfinished() const;
    /// Callers that are being answered.
    [[nodiscard]] int readers() const;
    [[nodiscard]] std::size_t size() const { return m_byHandle.size(); }

private:
    Options m_options;
    std::shared_ptr<RequestObserver> m_observer;
    std::uint64_t m_next = 0;
    std::unordered_map<policy::RequestHandle, RequestPtr> m_byHandle;
    std::unordered_map<std::string, RequestPtr> m_byId;
    std::map<std::string, RequestPtr> m_byKey;
};

} // namespace snipestall::entry
