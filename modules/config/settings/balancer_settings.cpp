#include "config/settings/balancer_settings.hpp"

#include <array>

namespace briardrum
{

namespace
{

auto read_settings(const nlohmann::json& document, json_problems& problems)
    -> balancer_settings
{
    json_checker from(document, "", problems);
    balancer_settings out;
    out.process = read_process_settings(from, problems);
    out.packets = from.address("packets");
    out.fabric = from.address("fabric");
    const auto own = std::array<named_address, 4>{{
        {"packets", out.packets},
        {"data", out.process.data},
        {"control", out.process.control},
        {"http", out.process.http},
    }};
    check_unique_addresses(from, own);
    from.finish();
    return out;
}

} // namespace

auto parse_balancer_settings(std::string_view text, const std::string& source)
    -> absl::StatusOr<balancer_settings>
{
    json_problems problems(source);
    const auto document = parse_json(text, problems);
    balancer_settings out;
    if (document.has_value())
    {
        out = read_settings(*document, problems);
    }
    auto status = problems.status();
    return status.ok() ? absl::StatusOr<balancer_settings>(std::move(out))
                       : status;
}

auto load_balancer_settings(const std::string& file)
    -> absl::StatusOr<balancer_settings>
{
    json_problems problems(file);
    const auto text = read_file(file, problems);
    return text.has_value() ? parse_balancer_settings(*text, file)
                            : problems.status();
}

} // namespace briardrum
