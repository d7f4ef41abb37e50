// Stands in for callers, on libcoap's client sessions: makes requests, checks
// every answer and prints one summary line.

#include "stand_ins/caller/caller.hpp"
#include "stand_ins/shared/command_line.hpp"
#include "stand_ins/shared/stop_request.hpp"

#include <iostream>
#include <map>

using namespace briardrum;

namespace
{

constexpr std::size_t sessions_max = 20000;

auto modes() -> const std::map<std::string, caller_mode>&
{
    static const std::map<std::string, caller_mode> all = {
        {"lookups", caller_mode::lookups}, {"session", caller_mode::session},
        {"stream", caller_mode::stream},   {"confirm", caller_mode::confirm},
        {"upload", caller_mode::upload},   {"bill", caller_mode::bill}};
    return all;
}

auto read_command_line(CLI::App& app, caller_settings& settings,
                       std::string& mode) -> void
{
    app.add_option("mode", mode,
                   "lookups (each from a new socket), session, stream, "
                   "confirm, upload or bill")
        ->required()
        ->check(CLI::IsMember(modes()));
    add_endpoint(app, "--target", settings.target, "Address of the service")
        ->required();
    app.add_option("--service", settings.service,
                   "Name of the service that must answer");
    app.add_option("--count", settings.count,
                   "Requests (or notifications) of each session; 0 goes on "
                   "until SIGTERM")
        ->capture_default_str();
    add_millis(app, "--interval-ms", settings.interval,
               "Time between the starts of two requests of one session");
    app.add_option("--key-prefix", settings.key_prefix,
                   "First part of every business key")
        ->capture_default_str();
    app.add_option("--sessions", settings.sessions, "Sessions in this process")
        ->check(CLI::Range(std::size_t{1}, sessions_max))
        ->capture_default_str();
    add_millis(app, "--timeout-ms", settings.timeout,
               "A request without a final answer for this long is missing");
    app.add_option("--upload-bytes", settings.upload_bytes,
                   "Size of a photograph")
        ->capture_default_str();
    app.add_option("--deadline-ms", settings.deadline_ms,
                   "Deadline to put on every request");
    app.add_option("--urgency", settings.urgency,
                   "Urgency to put on every request: 0 urgent, 1 normal, 2 "
                   "bulk");
}

} // namespace

auto main(int count, char** arguments) -> int
{
    CLI::App app("Caller stand-in: exits with 1 when an answer was wrong or "
                 "missing");
    caller_settings settings;
    std::string mode;
    read_command_line(app, settings, mode);
    CLI11_PARSE(app, count, arguments);
    settings.mode = modes().at(mode);
    catch_stop_signals();
    caller caller(settings);
    caller.run();
    std::cout << caller.tally().line(mode) << std::endl;
    return caller.tally().is_good() ? 0 : 1;
}
