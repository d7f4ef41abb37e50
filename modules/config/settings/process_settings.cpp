#include "config/settings/process_settings.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace briardrum
{

namespace
{

constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};
constexpr number_range stop_bound_range = {0, 600000};

auto read_store(json_checker& from, json_problems& problems)
    -> std::optional<store_settings>
{
    const auto* value = from.optional_child("store");
    if (value == nullptr)
    {
        return std::nullopt;
    }
    json_checker inner(*value, from.path_of("store"), problems);
    store_settings out;
    out.address = inner.address("endpoint");
    out.root = inner.text("root");
    inner.finish();
    return out;
}

auto read_log_level(json_checker& from, json_problems& problems) -> event_level
{
    const auto* value = from.optional_child("log");
    if (value == nullptr)
    {
        return event_level::info;
    }
    json_checker inner(*value, from.path_of("log"), problems);
    const auto level = inner.choice("level", level_names);
    inner.finish();
    return static_cast<event_level>(level);
}

} // namespace

auto read_process_settings(json_checker& from, json_problems& problems)
    -> process_settings
{
    process_settings out;
    out.name = from.name("name");
    out.data_centre = from.name("data_centre");
    out.data = from.address("data");
    out.control = from.address("control");
    out.http = from.address("http");
    out.start_addresses = from.addresses("start_addresses");
    out.store = read_store(from, problems);
    out.log_level = read_log_level(from, problems);
    const auto bound =
        from.optional_number("stop_bound_ms", stop_bound_range,
                             static_cast<std::uint64_t>(out.stop_bound.count));
    out.stop_bound = milliseconds(static_cast<std::int64_t>(bound));
    return out;
}

auto check_unique_addresses(json_checker& from,
                            std::span<const named_address> addresses) -> void
{
    for (std::size_t n = 1; n < addresses.size(); ++n)
    {
        const auto& later = addresses[n];
        for (const auto& earlier : addresses.first(n))
        {
            if (!later.address.is_none() && later.address == earlier.address)
            {
                from.add_problem(later.field,
                                 to_string(later.address) + " again",
                                 "an address other than that of " +
                                     std::string(earlier.field));
            }
        }
    }
}

auto read_file(const std::string& file, json_problems& problems)
    -> std::optional<std::string>
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    if (in)
    {
        text << in.rdbuf();
    }
    if (!in || text.bad())
    {
        problems.add({"(file)", std::strerror(errno), "a readable file"});
        return std::nullopt;
    }
    return text.str();
}

} // namespace briardrum
