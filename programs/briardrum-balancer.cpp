#include "io/daemons/balancer_daemon.hpp"
#include "io/daemons/daemon_files.hpp"
#include "io/daemons/daemon_main.hpp"

auto main(int argc, char** argv) -> int
{
    using namespace briardrum;
    const daemon_program program = {
        "briardrum-balancer",
        "Forwards callers' datagrams from the fabric to the agents of the\n"
        "requested service, and the answers back to the callers.",
    };
    return run_daemon<balancer_daemon>(program, load_balancer_settings, argc,
                                       argv);
}
