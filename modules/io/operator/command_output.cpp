#include "io/operator/command_output.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace briardrum
{

auto to_utc(millis wall) -> std::string
{
    const auto at = static_cast<std::time_t>(wall.count / 1000);
    std::tm parts{};
    gmtime_r(&at, &parts);
    std::array<char, 32> buf{};
    const auto n =
        std::strftime(buf.data(), buf.size(), "%Y-%m-%d %H:%M:%S UTC", &parts);
    return {buf.data(), n};
}

auto to_json(const history_entry& entry) -> nlohmann::ordered_json
{
    nlohmann::ordered_json out;
    out["version"] = entry.version;
    out["change_id"] = entry.change_id;
    out["changed_by"] = entry.changed_by;
    out["changed_at"] = to_utc(entry.changed_at);
    out["summary"] = entry.summary;
    out["difference"] = entry.difference;
    return out;
}

auto print_json(const nlohmann::ordered_json& value) -> void
{
    constexpr int indent = 2;
    std::puts(value.dump(indent).c_str());
}

auto print_line(const std::string& line) -> void
{
    std::puts(line.c_str());
}

auto print_lines(const std::string& heading,
                 const std::vector<std::string>& lines) -> void
{
    if (lines.empty())
    {
        return;
    }
    print_line(heading);
    for (const auto& line : lines)
    {
        print_line("  " + line);
    }
}

auto print_table(std::span<const std::vector<std::string>> rows) -> void
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths;
    for (const auto& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t n = 0; n < row.size(); ++n)
        {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    for (const auto& row : rows)
    {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n)
        {
            line += row[n];
            if (n + 1 < row.size())
            {
                line.append(widths[n] + gap - row[n].size(), ' ');
            }
        }
        print_line(line);
    }
}

} // namespace briardrum
