#include "common/program.hpp"
#include "common/registration.hpp"
#include "service/ledger_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on");
DEFINE_string(port_file, "", "file to write the bound port to");
DEFINE_string(advertise, "",
              "IP:PORT to register, such as that of a proxy; empty: the address listened on");
DEFINE_string(platform, "", "IP:PORT of the platform to register with; empty: no registration");
DEFINE_string(name, "service", "name in the instance list");
DEFINE_string(data_centre, "", "data centre of the instance");
DEFINE_string(service, "", "service that the instance belongs to");
DEFINE_string(class, "reclaimable", "instance class");
DEFINE_uint64(incarnation, 0, "incarnation number; 0: taken from the clock");
DEFINE_uint64(slots, 8, "number of concurrent calls to advertise");
DEFINE_int64(work_ms, 5, "time from the effect of a call to its answer, in ms");
DEFINE_string(runs_file, "", "file to append a JSON line to per call that took effect");

using namespace snipestall;

namespace {

standins::ServiceOptions optionsFromFlags()
{
    standins::ServiceOptions options;
    options.name = FLAGS_name;
    options.dataCentre = FLAGS_data_centre;
    options.service = FLAGS_service;
    options.instanceClass = FLAGS_class;
    options.incarnation =
        FLAGS_incarnation != 0 ? FLAGS_incarnation : standins::incarnationFromClock();
    options.slots = FLAGS_slots;
    options.work = std::chrono::milliseconds(FLAGS_work_ms);
    options.runsFile = FLAGS_runs_file;
    return options;
}

wire::Task<void> stop(boost::asio::io_context &io, standins::Registration &registration,
                      std::string name)
{
    co_await registration.remove(std::move(name));
    io.stop();
}

} // namespace

int main(int argc, char **argv)
{
    standins::parseFlags(argc, argv,
                         "stand-in for a plain service that records which calls took effect");
    boost::asio::io_context io;
    std::optional<wire::Endpoint> platform;
    if (!FLAGS_platform.empty())
        platform = standins::endpointOrExit(FLAGS_platform);
    standins::LedgerService service(io, optionsFromFlags());
    standins::Registration registration(io, platform);
    const auto server = standins::listenOrExit(
        io, FLAGS_listen, FLAGS_port_file,
        [&service](wire::HttpExchange &exchange) { return service.serve(exchange); });
    const auto &options = service.options();
    const std::string ownAddress = server->endpoint().toString();
    const standins::InstanceRecord record { options.name,
                                            options.incarnation,
                                            FLAGS_advertise.empty() ? ownAddress : FLAGS_advertise,
                                            options.dataCentre,
                                            options.service,
                                            options.instanceClass };
    const auto leave = [&] {
        server->stopAccepting();
        boost::asio::co_spawn(io, stop(io, registration, options.name), boost::asio::detached);
    };
    service.onReclaimed(leave);
    boost::asio::co_spawn(io, registration.add(record), boost::asio::detached);
    standins::runUntilSignal(io, leave);
    return 0;
}
