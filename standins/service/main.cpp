#include "common/program.hpp"
#include "common/registration.hpp"
#include "service/ledger_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on");
DEFINE_string(port_file, "", "file that gets the real port");
DEFINE_string(advertise, "", "IP:PORT to register; empty: its own, as behind no proxy");
DEFINE_string(platform, "", "IP:PORT of the platform to register with; empty: none");
DEFINE_string(name, "service", "name in the instance list");
DEFINE_string(data_centre, "", "data centre");
DEFINE_string(service, "", "service it belongs to");
DEFINE_string(class, "reclaimable", "instance class");
DEFINE_uint64(incarnation, 0, "incarnation; 0: from the clock");
DEFINE_uint64(slots, 8, "calls at once that it asks for");
DEFINE_int64(work_ms, 5, "time from effect to answer");
DEFINE_string(runs_file, "", "file that gets a JSON line per run");

using namespace snipestall;

namespace {

standins::ServiceOptions optionsFromFlags()
{
    standins::ServiceOptions options;
    options.name = FLAGS_name;
    options.dataCentre = FLAGS_data_centre;
    options.service = FLAGS_service;
    options.instanceClass = FLAGS_class;
    options.incarnation = FLAGS_incarnation != 0 ? FLAGS_incarnation : standins::freshIncarnation();
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
    standins::parseFlags(argc, argv, "stand-in for a plain service with a ledger");
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
    const std::string own = server->endpoint().toString();
    const standins::Listing listing {
        options.name,       options.incarnation, FLAGS_advertise.empty() ? own : FLAGS_advertise,
        options.dataCentre, options.service,     options.instanceClass
    };
    const auto leave = [&] {
        server->stopAccepting();
        boost::asio::co_spawn(io, stop(io, registration, options.name), boost::asio::detached);
    };
    service.onTaken(leave);
    boost::asio::co_spawn(io, registration.add(listing), boost::asio::detached);
    standins::runUntilSignal(io, leave);
    return 0;
}
