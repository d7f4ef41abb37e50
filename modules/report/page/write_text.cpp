#include "report/page/write_text.hpp"

#include "report/format/numbers.hpp"
#include "report/page/page_facts.hpp"

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

// Breaks a sentence into lines between words.
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
    auto out = "\n" + wrap(service.name + ": " + verdict_of(service)) + "\n";
    for (const auto& fact : facts_of(service))
    {
        out += line(fact.label, fact.value);
    }
    for (const auto& row : urgency_rows_of(service))
    {
        out += line(row.label, row.value);
    }
    return out;
}

// Nothing when there are no facts.
auto write_facts(const std::string& title, const std::vector<page_fact>& facts)
    -> std::string
{
    auto out = facts.empty() ? "" : "\n" + title + "\n";
    for (const auto& item : facts)
    {
        out += line(item.label, item.value);
    }
    return out;
}

} // namespace

auto write_text(const day_report& report) -> std::string
{
    auto out = wrap(report.headline) + "\n" + covers_of(report) + "\n";
    for (const auto& service : report.services)
    {
        out += write_service(service);
    }
    out += write_facts("Presets in force", preset_facts_of(report));
    out += write_facts("Lagging", lagging_facts_of(report));
    out += write_facts("Not counted", missing_facts_of(report));
    return out;
}

} // namespace briardrum
