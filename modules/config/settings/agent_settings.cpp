#include "config/settings/agent_settings.hpp"

#include <array>

namespace briardrum
{

namespace
{

constexpr number_range slots_range = {1, 100000};

auto read_settings(const nlohmann::json& document, json_problems& problems)
    -> agent_settings
{
    json_checker from(document, "", problems);
    agent_settings out;
    out.process = read_process_settings(from, problems);
    out.server = from.address("server");
    out.service = from.name("service");
    out.slots = static_cast<std::uint32_t>(
        from.optional_number("slots", slots_range, out.slots));
    const auto addresses = std::array<named_address, 4>{{
        {"data", out.process.data},
        {"control", out.process.control},
        {"http", out.process.http},
        {"server", out.server},
    }};
    check_unique_addresses(from, addresses);
    from.finish();
    return out;
}

} // namespace

auto parse_agent_settings(std::string_view text, const std::string& source)
    -> absl::StatusOr<agent_settings>
{
    json_problems problems(source);
    const auto document = parse_json(text, problems);
    agent_settings out;
    if (document.has_value())
    {
        out = read_settings(*document, problems);
    }
    auto status = problems.status();
    return status.ok() ? absl::StatusOr<agent_settings>(std::move(out))
                       : status;
}

auto load_agent_settings(const std::string& file)
    -> absl::StatusOr<agent_settings>
{
    json_problems problems(file);
    const auto text = read_file(file, problems);
    return text.has_value() ? parse_agent_settings(*text, file)
                            : problems.status();
}

} // namespace briardrum
