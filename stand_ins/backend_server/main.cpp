// Stands in for a backend server of the users, on libcoap's server sessions.

#include "stand_ins/backend_server/backend_server.hpp"
#include "stand_ins/shared/command_line.hpp"
#include "stand_ins/shared/stop_request.hpp"

#include <iostream>

using namespace briardrum;

namespace
{

constexpr std::uint32_t slots_max = 10000;
constexpr std::int64_t shed_max = 1000000;

auto read_command_line(CLI::App& app, server_settings& settings) -> void
{
    add_endpoint(app, "--listen", settings.listen, "Address to listen on")
        ->required();
    app.add_option("--service", settings.service,
                   "Service that it announces itself into")
        ->required();
    app.add_option("--server", settings.server, "Its own name")->required();
    app.add_option("--slots", settings.slots, "Requests that run at once")
        ->check(CLI::Range(1U, slots_max))
        ->capture_default_str();
    add_millis(app, "--work-ms", settings.work, "Time that a request takes");
    app.add_option("--shed", settings.shed,
                   "Waiting requests above which new ones get 5.03; -1 takes "
                   "all")
        ->check(CLI::Range(std::int64_t{-1}, shed_max))
        ->capture_default_str();
    add_millis(app, "--cold-ms", settings.cold,
               "Requests take four times as long for this long");
    add_millis(app, "--stream-ms", settings.stream,
               "Time between two notifications of a stream");
    app.add_option("--bill-bytes", settings.bill_bytes, "Size of a bill")
        ->capture_default_str();
}

} // namespace

auto main(int count, char** arguments) -> int
{
    CLI::App app("Backend server stand-in: answers lookups, confirmations, "
                 "streams, uploads and bills over CoAP");
    server_settings settings;
    read_command_line(app, settings);
    CLI11_PARSE(app, count, arguments);
    catch_stop_signals();
    try
    {
        backend_server(settings).run();
    }
    catch (const std::exception& error)
    {
        std::cerr << "backend_server: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
