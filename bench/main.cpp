#include "bench/measures.hpp"

#include <vector>

auto main(int argc, char** argv) -> int
{
    using briardrum::bench::measure;
    CLI::App app{"Measures briardrum on this machine."};
    app.set_version_flag("--version", BRIARDRUM_VERSION);
    app.require_subcommand(1);
    const std::vector<measure> measures = {
        briardrum::bench::add_control(app),
        briardrum::bench::add_broken(app),
        briardrum::bench::add_soak(app),
        briardrum::bench::add_imbalance(app),
        briardrum::bench::add_requests(app),
        briardrum::bench::add_forward(app),
        briardrum::bench::add_flood(app),
        briardrum::bench::add_gossip(app),
        briardrum::bench::add_queueing(app),
        briardrum::bench::add_hedging(app),
    };
    CLI11_PARSE(app, argc, argv);
    for (const auto& item : measures)
    {
        if (item.command->parsed())
        {
            return item.run();
        }
    }
    return 0;
}
