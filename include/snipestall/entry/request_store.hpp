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
    /// How long a finished answer remains available.
    std::chrono::seconds finishedRetention { 120 };
    /// Maximum total size of finished answers in bytes, part of the node's 32 MB. Above it, the
    /// oldest are dropped.
    std::size_t maxFinishedBytes = 8ULL * 1024 * 1024;
};

/// The requests of this instance, indexed by id, by handle and by the caller's idempotency key.
class RequestStore
{
public:
    using Options = RequestStoreOptions;

    explicit RequestStore(Options options = {});

    /// Sets the observer of all requests that are added from now on and whose home is this
    /// instance.
    void observe(std::shared_ptr<RequestObserver> observer) { m_observer = std::move(observer); }

    policy::RequestHandle nextHandle();
    void add(const RequestPtr &request);
    void remove(const RequestPtr &request);
    [[nodiscard]] RequestPtr find(const std::string &id) const;
    [[nodiscard]] RequestPtr find(policy::RequestHandle handle) const;
    /// Finds the request with a caller's idempotency key, so that a repeat can join it.
    [[nodiscard]] RequestPtr findByKey(const std::string &customer, const std::string &service,
                                       const std::string &key) const;
    /// Removes and returns finished requests that are too old or exceed the size limit. Requests
    /// that are being read are kept.
    std::vector<RequestPtr> expire(std::chrono::steady_clock::time_point now);
    [[nodiscard]] std::vector<RequestPtr> unfinished() const;
    /// Number of callers that are reading an answer.
    [[nodiscard]] int readers() const;
    [[nodiscard]] std::size_t size() const { return m_byHandle.size(); }

private:
    Options m_options;
    std::shared_ptr<RequestObserver> m_observer;
    std::uint64_t m_nextHandle = 0;
    std::unordered_map<policy::RequestHandle, RequestPtr> m_byHandle;
    std::unordered_map<std::string, RequestPtr> m_byId;
    std::map<std::string, RequestPtr> m_byKey;
};

} // namespace snipestall::entry
