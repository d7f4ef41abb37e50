#include "io/operator/operator_options.hpp"

#include "config/config.hpp"
#include "config/settings/process_settings.hpp"

#include <CLI/CLI.hpp>

namespace briardrum
{

namespace
{

constexpr std::uint32_t patience_seconds_max = 600;

auto read_daemons(json_checker& from, operator_options& out) -> void
{
    if (from.optional_child("daemons") != nullptr)
    {
        auto found = from.addresses("daemons");
        if (out.daemons.empty())
        {
            out.daemons = std::move(found);
        }
    }
}

auto read_store(json_checker& from, operator_options& out,
                json_problems& problems) -> void
{
    const auto* object = from.optional_child("store");
    if (object == nullptr)
    {
        return;
    }
    json_checker store(*object, from.path_of("store"), problems);
    const auto address = store.address("endpoint");
    if (out.store_addresses.empty())
    {
        out.store_addresses = {address};
    }
    if (store.optional_child("root") != nullptr)
    {
        out.store_root = store.text("root");
    }
    store.finish();
}

auto read_settings(operator_options& out) -> absl::Status
{
    json_problems problems(out.settings_file);
    const auto text = read_file(out.settings_file, problems);
    const auto document =
        text.has_value() ? parse_json(*text, problems) : std::nullopt;
    if (document.has_value())
    {
        json_checker from(*document, "", problems);
        if (from.optional_child("name") != nullptr)
        {
            const auto name = from.name("name");
            out.name = out.name.empty() ? name : out.name;
        }
        read_store(from, out, problems);
        read_daemons(from, out);
        from.finish();
    }
    return problems.status();
}

auto read_addresses(const std::vector<std::string>& texts, const char* flag,
                    std::vector<endpoint>& out, problem_list& problems) -> void
{
    for (const auto& text : texts)
    {
        const auto address = parse_endpoint(text);
        if (!address.ok() || address->port == 0)
        {
            problems.add(flag, "\"" + text + "\"",
                         "an address like 10.0.0.1:2379");
            continue;
        }
        out.push_back(*address);
    }
}

} // namespace

auto add_operator_options(CLI::App& app, operator_options& out) -> void
{
    app.add_option("-s,--settings", out.settings_file,
                   "Your settings: name, store, daemons (JSON with comments)")
        ->envname("BRIARDRUM_SETTINGS")
        ->type_name("FILE");
    app.add_option("--name", out.name, "Who you are, for the history");
    app.add_option("--store", out.store_text, "Address of the store")
        ->type_name("ADDRESS:PORT");
    app.add_option("--daemon", out.daemon_texts,
                   "HTTP address of a daemon for status; may be repeated")
        ->type_name("ADDRESS:PORT");
    app.add_option("--timeout", out.patience_seconds,
                   "Seconds to wait for the store")
        ->check(CLI::Range(std::uint32_t{1}, patience_seconds_max));
    app.add_flag("--json", out.json, "Print JSON for scripts");
}

auto finish_operator_options(operator_options& out) -> absl::Status
{
    problem_list problems;
    out.patience = seconds(out.patience_seconds);
    if (!out.store_text.empty())
    {
        read_addresses({out.store_text}, "--store", out.store_addresses,
                       problems);
    }
    read_addresses(out.daemon_texts, "--daemon", out.daemons, problems);
    if (!problems.empty())
    {
        return problems.status();
    }
    return out.settings_file.empty() ? absl::OkStatus() : read_settings(out);
}

} // namespace briardrum
