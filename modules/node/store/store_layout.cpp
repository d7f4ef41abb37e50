#include "node/store/store_layout.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace briardrum
{

namespace
{

constexpr std::size_t difference_lines_max = 40;

} // namespace

auto store_layout::configuration_prefix() const -> std::string
{
    return prefix + "/configuration/";
}

auto store_layout::key_of(std::string_view configuration_key) const
    -> std::string
{
    return configuration_prefix() + std::string(configuration_key);
}

auto store_layout::history_key(configuration_version version) const
    -> std::string
{
    std::array<char, 16> buf{};
    std::snprintf(buf.data(), buf.size(), "%05u",
                  static_cast<unsigned>(version % history_slots));
    return prefix + "/changes/" + buf.data();
}

auto write_history_entry(const history_entry& entry) -> std::string
{
    nlohmann::ordered_json out;
    out["version"] = entry.version;
    out["change_id"] = entry.change_id;
    out["changed_by"] = entry.changed_by;
    out["changed_at_ms"] = entry.changed_at.count;
    out["summary"] = entry.summary;
    auto lines = entry.difference;
    if (lines.size() > difference_lines_max)
    {
        const auto more = lines.size() - difference_lines_max;
        lines.resize(difference_lines_max);
        lines.push_back("and " + std::to_string(more) + " more");
    }
    out["difference"] = lines;
    return out.dump();
}

auto read_history_entry(std::string_view text) -> std::optional<history_entry>
{
    try
    {
        const auto object = nlohmann::json::parse(text);
        history_entry out;
        out.version = object.at("version").get<configuration_version>();
        out.change_id = object.at("change_id").get<std::string>();
        out.changed_by = object.at("changed_by").get<std::string>();
        out.changed_at = {object.at("changed_at_ms").get<std::int64_t>()};
        out.summary = object.at("summary").get<std::string>();
        out.difference =
            object.at("difference").get<std::vector<std::string>>();
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

auto make_change_id(configuration_version version, std::uint64_t random)
    -> std::string
{
    std::array<char, 24> buf{};
    std::snprintf(buf.data(), buf.size(), "-%012llx",
                  static_cast<unsigned long long>(random >> 16U));
    return std::to_string(version) + buf.data();
}

auto version_of_change_id(std::string_view change_id) -> configuration_version
{
    configuration_version version = 0;
    const auto* end = change_id.data() + change_id.size();
    const auto [next, ec] = std::from_chars(change_id.data(), end, version);
    const auto is_id = ec == std::errc{} && next != end && *next == '-';
    return is_id ? version : 0;
}

} // namespace briardrum
