#pragma once

#include "harness/port_pool.hpp"
#include "harness/process.hpp"
#include "harness/temp_dir.hpp"

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_response.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace snipestall::crowd {

class ProcessWatch;
struct CrowdScript;

/// One gateway process on a machine with little memory, the stand-in store and two backend servers.
class CrowdTest : public testing::Test
{
protected:
    /// Memory and descriptors of the gateway's machine.
    static constexpr std::size_t MachineMegabytes = 96;
    static constexpr std::size_t MachineDescriptors = 4100;
    static constexpr std::size_t LargestBody = 1000000;
    static constexpr std::size_t CrowdSize = 150;

    CrowdTest();
    ~CrowdTest() override;

    /// `slowdown`: factor by which the servers answer later than they do by default.
    void start(double slowdown = 1, std::size_t descriptors = MachineDescriptors);
    /// Has the crowd play its script, and expects that the gateway lives, stays within its machine
    /// and serves ordinary callers afterwards.
    void expectBorne(const wire::Endpoint &address, CrowdScript script,
                     std::size_t size = CrowdSize);
    void expectAlive();
    void expectWithinMachine(const ProcessWatch &watch) const;
    void expectServed();
    /// Expects that a request of the largest size that the configuration allows is served.
    void expectLargestServed();
    [[nodiscard]] std::unique_ptr<ProcessWatch> watch() const;

    /// Status of an ordinary request; 0 if it gets no answer.
    [[nodiscard]] int ordinaryStatus(const std::string &body) const;

    /// First line and fields of a request of the crowd, without the empty line at their end.
    static std::string head(const std::string &key = "secret", const std::string &path = "/safe/x");
    /// A body with a length that stops one byte short of its end.
    static CrowdScript shortBody(const std::string &requestHead);

    wire::Endpoint m_callers;
    wire::Endpoint m_forward;
    wire::Endpoint m_readiness;
    wire::Endpoint m_metrics;

private:
    std::unique_ptr<harness::Process> startProcess(const std::string &name,
                                                   const std::string &program,
                                                   std::vector<std::string> arguments);
    wire::Endpoint allocate();

    harness::TempDir m_directory;
    harness::PortPool m_ports;
    std::size_t m_descriptors = MachineDescriptors;
    std::unique_ptr<harness::Process> m_store;
    std::vector<std::unique_ptr<harness::Process>> m_servers;
    std::unique_ptr<harness::Process> m_gateway;
};

} // namespace snipestall::crowd
