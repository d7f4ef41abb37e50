#include "io/daemons/agent_daemon.hpp"
#include "io/daemons/daemon_files.hpp"
#include "io/daemons/daemon_main.hpp"

auto main(int argc, char** argv) -> int
{
    using namespace briardrum;
    const daemon_program program = {
        "briardrum-agent",
        "Runs next to one backend server: holds its flows and requests, and\n"
        "hands them over when the server leaves.",
    };
    return run_daemon<agent_daemon>(program, load_agent_settings, argc, argv);
}
