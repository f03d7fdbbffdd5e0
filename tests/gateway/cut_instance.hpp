#pragma once

#include "gateway_fixture.hpp"
#include "test_link.hpp"

#include "snipestall/gateway/instance_row.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <memory>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// A fixture with a second instance, which reaches the servers through links that can be cut. It
/// has a store of its own, with the same rows but for the addresses of the servers.
template<typename Fixture>
class WithCutInstance : public Fixture
{
protected:
    void startCut(const std::vector<TestBackend *> &backends)
    {
        m_cutStore.put({ "op", "", "config" }, GatewayTestConfig);
        for (const TestBackend *backend : backends) {
            const wire::Endpoint server = *wire::Endpoint::parse(backend->address());
            m_links.push_back(std::make_unique<TestLink>(this->m_io, server));
            std::string entry = backend->entry();
            boost::algorithm::replace_first(entry, backend->address(),
                                            m_links.back()->endpoint().toString());
            m_cutStore.put({ "servers", "", backend->id() }, entry);
        }
        GatewaySettings settings = this->settingsOf("edge-2");
        settings.store = m_cutStore.endpoint();
        settings.duties = m_cutStore.endpoint();
        m_cut = this->startInstance(settings);
        introduce(this->m_store, m_cut.settings);
        introduce(m_cutStore, this->m_settings);
    }

    void cut(TestLink::Cut kind)
    {
        for (const auto &link : m_links)
            link->cut(kind);
    }

    /// Returns whether the metrics of the instance that may be cut off have this line.
    wire::Task<bool> hasMetric(std::string line)
    {
        const wire::HttpResponse page = co_await this->fetch(m_cut.metrics, "/metrics");
        co_return page.body.find("\n" + line + "\n") != std::string::npos;
    }

    /// Writes the row of an instance into a store, as the instance does at its start.
    static void introduce(platform::StandinStore &store, const GatewaySettings &instance)
    {
        const InstanceRow row { instance.dataCentre,
                                instance.address + ":" + std::to_string(instance.peerPort), 0,
                                instance.forwardPort };
        store.put({ "instances", "", instance.instance }, encodeInstance(row));
    }

    platform::StandinStore m_cutStore { this->m_io };
    std::vector<std::unique_ptr<TestLink>> m_links;
    typename Fixture::Instance m_cut;
};

} // namespace snipestall::gateway
