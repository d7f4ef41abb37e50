// Stands in for the fabric before the balancers: sprays the callers' packets.

#include "stand_ins/fabric/fabric.hpp"
#include "stand_ins/shared/command_line.hpp"

#include <csignal>
#include <iostream>

using namespace briardrum;

namespace
{

auto read_command_line(CLI::App& app, fabric_settings& settings) -> void
{
    constexpr double percent_max = 100;
    add_endpoints(app, "--service", settings.services,
                  "Address of a service; repeat it for each service")
        ->required();
    add_endpoint(app, "--back", settings.back,
                 "Address that balancers send answers to")
        ->required();
    app.add_option("--balancers", settings.balancers,
                   "File with one balancer's ip:port per line, read again "
                   "when it changes")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--drop", settings.drop_percent,
                   "Percent of datagrams to lose, in each direction")
        ->check(CLI::Range(0.0, percent_max));
    app.add_option("--seed", settings.seed, "Seed of all random choices")
        ->capture_default_str();
    app.add_flag("--report", settings.report, "Print counts at the end");
}

auto run(const fabric_settings& settings) -> void
{
    asio::io_context io;
    fabric fabric(io, settings);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [&](const asio::error_code& /*ec*/, int /*signal*/)
        {
            io.stop();
        });
    fabric.start();
    io.run();
    if (settings.report)
    {
        std::cout << to_string(fabric.counts()) << std::endl;
    }
}

} // namespace

auto main(int count, char** arguments) -> int
{
    CLI::App app("Fabric stand-in: sprays each caller's datagram to a "
                 "balancer chosen at random");
    fabric_settings settings;
    read_command_line(app, settings);
    CLI11_PARSE(app, count, arguments);
    try
    {
        run(settings);
    }
    catch (const std::exception& error)
    {
        std::cerr << "fabric: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
