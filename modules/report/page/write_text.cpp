#include "report/page/write_text.hpp"

#include "report/format/numbers.hpp"
#include "report/page/page_rows.hpp"

namespace briardrum
{

namespace
{

constexpr std::size_t label_width = 18;
constexpr std::size_t line_width = 80;

auto line(const std::string& label, const std::string& value) -> std::string
{
    const auto gap = label.size() < label_width ? label_width - label.size()
                                                : std::size_t{1};
    return "  " + label + std::string(gap, ' ') + value + "\n";
}

// Breaks text into lines of at most line_width at word boundaries.
auto wrap(const std::string& text) -> std::string
{
    auto out = text;
    std::size_t start = 0;
    while (out.size() - start > line_width)
    {
        const auto space = out.rfind(' ', start + line_width);
        if (space == std::string::npos || space <= start)
        {
            break;
        }
        out[space] = '\n';
        start = space + 1;
    }
    return out;
}

auto write_service(const service_day& service) -> std::string
{
    auto out =
        "\n" + wrap(service.name + ": " + status_text_of(service)) + "\n";
    for (const auto& row : rows_of(service))
    {
        out += line(row.label, row.value);
    }
    for (const auto& row : urgency_rows_of(service))
    {
        out += line(row.label, row.value);
    }
    return out;
}

// Empty when there are no rows.
auto write_rows(const std::string& title, const std::vector<page_row>& rows)
    -> std::string
{
    auto out = rows.empty() ? "" : "\n" + title + "\n";
    for (const auto& item : rows)
    {
        out += line(item.label, item.value);
    }
    return out;
}

} // namespace

auto write_text(const day_report& report) -> std::string
{
    auto out = wrap(report.headline) + "\n" + period_of(report) + "\n";
    for (const auto& service : report.services)
    {
        out += write_service(service);
    }
    out += write_rows("Presets in force", preset_rows_of(report));
    out += write_rows("Lagging", lagging_rows_of(report));
    out += write_rows("Not counted", gap_rows_of(report));
    return out;
}

} // namespace briardrum
