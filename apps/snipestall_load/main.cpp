#include "ledger.hpp"
#include "ledger_check.hpp"
#include "load_generator.hpp"
#include "mix.hpp"
#include "plan.hpp"
#include "report.hpp"

#include "snipestall/wire/endpoint.hpp"
#include "snipestall/wire/http_client.hpp"

#include <boost/asio/co_spawn.hpp>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

DEFINE_string(targets, "",
              "entry instances to send calls to, by their addresses for callers, IP:PORT,...");
DEFINE_string(direct, "",
              "engines that receive the same chat calls first, without snipestall, IP:PORT,...");
DEFINE_string(key, "", "key of the customer, sent as Authorization: Bearer");
DEFINE_string(
    mix, "",
    "YAML file that describes the calls; --rate, --duration_ms, --seed, --model and --service "
    "change it");
DEFINE_double(rate, 0, "calls per second");
DEFINE_int64(duration_ms, 0, "time for which calls are sent, in milliseconds");
DEFINE_int64(seed, -1, "seed of the plan, at least 0; calls of the same seed and mix are the same");
DEFINE_string(model, "",
              "model of a class of chat calls that is added to the mix; can replace --mix");
DEFINE_string(
    service, "",
    "plain service of a class of keyed, non-idempotent calls that is added to the mix; can "
    "replace --mix");
DEFINE_string(run, "",
              "name that keeps the keys and prompts of this run distinct from those of other runs; "
              "empty: the time");
DEFINE_int64(
    patience_ms, 30000,
    "time in milliseconds after the deadline for which callers try to resume accepted requests");
DEFINE_uint64(max_open, 8000,
              "greatest number of calls open at once; further ones are counted as not sent");
DEFINE_string(engines, "", "engines whose record of attempts is checked, IP:PORT,...");
DEFINE_string(services, "", "services whose record of runs is checked, IP:PORT,...");
DEFINE_string(
    ledger_files, "",
    "files of recorded attempts and runs, instead of or besides --engines and --services");
DEFINE_string(output, "table", "format of the report: table or json");

using namespace snipestall;
using namespace snipestall::load;

namespace {

constexpr int ExitViolations = 1;
constexpr int ExitError = 2;

[[noreturn]] void exitWithError(const std::string &message)
{
    std::cerr << message << '\n';
    std::exit(ExitError);
}

std::vector<std::string> splitList(const std::string &list)
{
    std::vector<std::string> parts;
    std::istringstream text(list);
    for (std::string part; std::getline(text, part, ',');)
        parts.push_back(part);
    return parts;
}

std::vector<wire::Endpoint> parseEndpoints(const std::string &list)
{
    std::vector<wire::Endpoint> all;
    for (const auto &part : splitList(list)) {
        auto endpoint = wire::Endpoint::parse(part);
        if (!endpoint)
            exitWithError(endpoint.error().message);
        all.push_back(std::move(*endpoint));
    }
    return all;
}

Mix mixFromFlags()
{
    Mix mix;
    if (!FLAGS_mix.empty()) {
        auto loaded = Mix::load(FLAGS_mix);
        if (!loaded)
            exitWithError(loaded.error().message);
        mix = std::move(*loaded);
    }
    if (!FLAGS_model.empty()) {
        WorkClass chat;
        chat.name = "chat";
        chat.model = FLAGS_model;
        mix.classes.push_back(std::move(chat));
    }
    if (!FLAGS_service.empty()) {
        WorkClass ledger;
        ledger.name = "ledger";
        ledger.service = FLAGS_service;
        ledger.keyedShare = 1;
        ledger.nonIdempotentShare = 1;
        mix.classes.push_back(std::move(ledger));
    }
    if (FLAGS_rate > 0)
        mix.rate = FLAGS_rate;
    if (FLAGS_duration_ms > 0)
        mix.duration = std::chrono::milliseconds(FLAGS_duration_ms);
    if (FLAGS_seed >= 0)
        mix.seed = static_cast<std::uint64_t>(FLAGS_seed);
    if (mix.classes.empty())
        exitWithError("there are no calls to send; give --mix, --model or --service");
    return mix;
}

std::string runName()
{
    if (!FLAGS_run.empty())
        return FLAGS_run;
    return std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
}

/// Runs the event loop until the coroutine has ended.
void runUntilDone(boost::asio::io_context &io, wire::Task<void> task)
{
    bool done = false;
    boost::asio::co_spawn(io, std::move(task), [&done](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error);
        done = true;
    });
    io.restart();
    while (!done)
        io.run_one();
}

Results runPhase(boost::asio::io_context &io, const Mix &mix, const std::string &run, bool direct)
{
    Results results;
    results.phase = direct ? "direct" : "snipestall";
    results.classes.resize(mix.classes.size());
    wire::HttpClient client(io);
    CallContext context { client,    mix,
                          results,   parseEndpoints(direct ? FLAGS_direct : FLAGS_targets),
                          FLAGS_key, std::chrono::milliseconds(FLAGS_patience_ms) };
    const auto plan = planCalls(mix, context.targets.size(), run + (direct ? "d" : "s"));
    LoadGenerator generator(io, std::move(context), FLAGS_max_open);
    runUntilDone(io, generator.send(plan, direct));
    return results;
}

wire::Task<void> fetchLedger(wire::HttpClient &client, wire::Endpoint endpoint, std::string path,
                             Ledger &ledger)
{
    wire::HttpRequest request { "GET", std::move(path), {}, {} };
    const auto response = co_await client.fetch(endpoint, std::move(request));
    if (!response)
        exitWithError("cannot fetch the ledger: " + response.error().message);
    const auto added = ledger.addBody(response->body);
    if (!added)
        exitWithError("cannot parse the ledger of " + endpoint.toString() + ": "
                      + added.error().message);
}

std::optional<Ledger> readLedger(boost::asio::io_context &io)
{
    if (FLAGS_engines.empty() && FLAGS_services.empty() && FLAGS_ledger_files.empty())
        return std::nullopt;
    Ledger ledger;
    wire::HttpClient client(io);
    for (const auto &engine : parseEndpoints(FLAGS_engines))
        runUntilDone(io, fetchLedger(client, engine, "/control/attempts", ledger));
    for (const auto &service : parseEndpoints(FLAGS_services))
        runUntilDone(io, fetchLedger(client, service, "/control/runs", ledger));
    for (const auto &file : splitList(FLAGS_ledger_files)) {
        const auto added = ledger.addFile(file);
        if (!added)
            exitWithError(added.error().message);
    }
    return ledger;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("open-loop load generator that checks every answer");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1)
        exitWithError(std::string("unexpected argument '") + argv[1] + "'; see --help");
    if (FLAGS_targets.empty() && FLAGS_direct.empty())
        exitWithError("there are no targets; give --targets or --direct");
    const Mix mix = mixFromFlags();
    const std::string run = runName();
    boost::asio::io_context io;
    std::vector<Results> results;
    if (!FLAGS_direct.empty())
        results.push_back(runPhase(io, mix, run, true));
    if (!FLAGS_targets.empty())
        results.push_back(runPhase(io, mix, run, false));
    Report report;
    for (const auto &phase : results)
        report.phases.push_back(summarise(phase));
    const auto ledger = readLedger(io);
    if (ledger)
        report.ledger = checkLedger(results.back().records, *ledger);
    const bool asJson = FLAGS_output == "json";
    std::cout << (asJson ? toJson(report, results, mix) : toTable(report, results, mix));
    return report.clean() ? 0 : ExitViolations;
}
