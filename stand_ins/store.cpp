#include "stand_ins/store/store_gateway.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

// A small key-value store in memory that speaks etcd's JSON calls, for tests
// and the demo: it can be told to fail in the ways that a real one does.
auto main(int argc, char** argv) -> int
{
    CLI::App app{"Stands in for the platform's key-value store."};
    std::string address = "127.0.0.1:2379";
    std::string fault_text = "{}";
    app.add_option("--listen", address, "Address to answer at");
    app.add_option("--faults", fault_text, "Faults from the start, as JSON");
    CLI11_PARSE(app, argc, argv);

    const auto local = briardrum::parse_endpoint(address);
    const auto faults = briardrum::stand_in::parse_store_faults(fault_text);
    if (!local.ok() || !faults.ok())
    {
        std::fprintf(stderr, "store: --listen or --faults cannot be read\n");
        return briardrum::error_mapping_for(
                   briardrum::error_kind::invalid_argument)
            .exit_code;
    }
    // Handled by waiting for them below, on every thread.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    briardrum::stand_in::store_gateway gateway(*faults);
    if (!gateway.start(*local))
    {
        std::fprintf(stderr, "store: %s cannot be bound\n", address.c_str());
        return briardrum::error_mapping_for(briardrum::error_kind::unavailable)
            .exit_code;
    }
    std::printf("event=store_started address=%s\n",
                to_string(gateway.local()).c_str());
    std::fflush(stdout);
    int signal = 0;
    sigwait(&signals, &signal);
    gateway.stop();
    return 0;
}
