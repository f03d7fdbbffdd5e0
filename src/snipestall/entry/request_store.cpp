#include "snipestall/entry/request_store.hpp"

#include <algorithm>

namespace snipestall::entry {

namespace {

std::string keyOf(const std::string &customer, const std::string &service, const std::string &key)
{
    return customer + '\n' + service + '\n' + key;
}

std::size_t bytesOf(const Request &request)
{
    std::size_t bytes = request.spec().body.size();
    for (std::uint64_t i = request.firstOffset(); i < request.nextOffset(); ++i)
        bytes += request.piece(i).size() + sizeof(std::string);
    return bytes + request.finalAnswer()->body.size();
}

} // namespace

RequestStore::RequestStore(Options options)
    : m_options(options)
{ }

policy::RequestHandle RequestStore::nextHandle()
{
    return { ++m_nextHandle };
}

void RequestStore::add(const RequestPtr &request)
{
    m_byHandle[request->handle()] = request;
    // Requests that run here for another home are only found by handle; their home answers the
    // caller.
    if (request->forwarded)
        return;
    request->observe(m_observer);
    const RequestSpec &spec = request->spec();
    m_byId[spec.id] = request;
    if (!spec.idempotencyKey.empty())
        m_byKey[keyOf(spec.customer, spec.service, spec.idempotencyKey)] = request;
}

void RequestStore::remove(const RequestPtr &request)
{
    m_byHandle.erase(request->handle());
    if (request->forwarded)
        return;
    const RequestSpec &spec = request->spec();
    m_byId.erase(spec.id);
    const auto key = m_byKey.find(keyOf(spec.customer, spec.service, spec.idempotencyKey));
    if (key != m_byKey.end() && key->second == request)
        m_byKey.erase(key);
}

RequestPtr RequestStore::find(const std::string &id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : it->second;
}

RequestPtr RequestStore::find(policy::RequestHandle handle) const
{
    const auto it = m_byHandle.find(handle);
    return it == m_byHandle.end() ? nullptr : it->second;
}

RequestPtr RequestStore::findByKey(const std::string &customer, const std::string &service,
                                   const std::string &key) const
{
    const auto it = m_byKey.find(keyOf(customer, service, key));
    return it == m_byKey.end() ? nullptr : it->second;
}

std::vector<RequestPtr> RequestStore::expire(std::chrono::steady_clock::time_point now)
{
    std::vector<RequestPtr> finished;
    std::size_t bytes = 0;
    for (const auto &[handle, request] : m_byHandle) {
        if (!request->finished())
            continue;
        bytes += bytesOf(*request);
        finished.push_back(request);
    }
    std::sort(finished.begin(), finished.end(), [](const RequestPtr &a, const RequestPtr &b) {
        return a->finishedAt != b->finishedAt ? a->finishedAt < b->finishedAt
                                              : a->handle() < b->handle();
    });
    std::vector<RequestPtr> removed;
    for (const RequestPtr &request : finished) {
        const bool old = now - request->finishedAt > m_options.finishedRetention;
        const bool drop = (old || bytes > m_options.maxFinishedBytes || request->forwarded)
            && request->readers == 0;
        if (!drop)
            continue;
        bytes -= std::min(bytes, bytesOf(*request));
        remove(request);
        removed.push_back(request);
    }
    return removed;
}

int RequestStore::readers() const
{
    int sum = 0;
    for (const auto &[handle, request] : m_byHandle)
        sum += request->readers;
    return sum;
}

std::vector<RequestPtr> RequestStore::unfinished() const
{
    std::vector<RequestPtr> open;
    for (const auto &[handle, request] : m_byHandle) {
        if (!request->finished())
            open.push_back(request);
    }
    return open;
}

} // namespace snipestall::entry
