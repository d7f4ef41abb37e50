#include "report/page/write_html.hpp"

#include "report/format/numbers.hpp"
#include "report/page/page_rows.hpp"
#include "report/page/request_plot.hpp"

namespace briardrum
{

namespace
{

constexpr std::string_view stylesheet = R"(
:root { --ink: #1c2430; --soft: #5a6675; --rule: #d8dee6; --paper: #fff;
  --good: #7d9db8; --bad: #b3261e; --well: #1e6b3a; }
@media (prefers-color-scheme: dark) {
  :root { --ink: #e6eaf0; --soft: #9aa6b5; --rule: #36404d; --paper: #14191f;
    --good: #5f84a3; --bad: #ff8a80; --well: #7fd19b; } }
* { box-sizing: border-box; }
body { margin: 0 auto; padding: 1rem; max-width: 72rem; color: var(--ink);
  background: var(--paper); font: 1rem/1.45 system-ui, sans-serif; }
h1 { font-size: 1.35rem; line-height: 1.3; margin: 0 0 .25rem;
  padding-left: .75rem; border-left: .4rem solid var(--well); }
h1.amiss { border-color: var(--bad); }
h2 { font-size: 1.1rem; margin: 0 0 .25rem; overflow-wrap: anywhere; }
p { margin: 0 0 .5rem; }
.covers { color: var(--soft); margin-bottom: 1rem; }
.services { display: grid; gap: 1rem;
  grid-template-columns: repeat(auto-fit, minmax(min(26rem, 100%), 1fr)); }
section { border-top: 1px solid var(--rule); padding-top: .75rem;
  break-inside: avoid; }
.verdict { color: var(--well); font-weight: 600; }
.amiss .verdict { color: var(--bad); }
dl { display: grid; grid-template-columns: 7.5rem 1fr; margin: .5rem 0 0;
  gap: .15rem .75rem; }
dt { color: var(--soft); }
dd { margin: 0; overflow-wrap: anywhere;
  font-variant-numeric: tabular-nums; }
svg { display: block; width: 100%; height: auto; margin-top: .5rem; }
svg .good { fill: var(--good); }
svg .bad { fill: var(--bad); }
svg line { stroke: var(--rule); }
svg text { fill: var(--soft); font-size: 12px; }
.foot { margin-top: 1rem; }
@media print { body { max-width: none; padding: 0; font-size: 10pt; }
  .services { grid-template-columns: 1fr 1fr; } }
)";

auto escape(const std::string& text) -> std::string
{
    std::string out;
    for (const char character : text)
    {
        switch (character)
        {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += character;
        }
    }
    return out;
}

auto write_rows(const std::vector<page_row>& rows) -> std::string
{
    std::string out = "<dl>\n";
    for (const auto& row : rows)
    {
        out += "<dt>" + escape(row.label) + "</dt><dd>" + escape(row.value) +
               "</dd>\n";
    }
    return out + "</dl>\n";
}

auto write_service(const report_day& day, const service_day& service)
    -> std::string
{
    auto rows = rows_of(service);
    for (auto& row : urgency_rows_of(service))
    {
        rows.push_back(std::move(row));
    }
    const auto* opening_tag = service.problems.empty()
                                  ? "<section>\n"
                                  : "<section class=\"amiss\">\n";
    auto escaped = service;
    escaped.name = escape(service.name);
    return opening_tag + ("<h2>" + escaped.name + "</h2>\n") +
           "<p class=\"verdict\">" + escape(status_text_of(service)) +
           "</p>\n" + write_request_plot(day, escaped) + write_rows(rows) +
           "</section>\n";
}

// Empty when there are no rows.
auto write_section(const std::string& title, const std::vector<page_row>& rows)
    -> std::string
{
    if (rows.empty())
    {
        return {};
    }
    return "<section class=\"foot\">\n<h2>" + title + "</h2>\n" +
           write_rows(rows) + "</section>\n";
}

auto write_head(const day_report& report) -> std::string
{
    return "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
           "<meta charset=\"utf-8\">\n"
           "<meta name=\"viewport\" "
           "content=\"width=device-width, initial-scale=1\">\n"
           "<title>" +
           escape(report.headline) + "</title>\n<style>" +
           std::string(stylesheet) + "</style>\n</head>\n";
}

} // namespace

auto write_html(const day_report& report) -> std::string
{
    const auto* heading = report.went_well ? "<h1>" : "<h1 class=\"amiss\">";
    auto out = write_head(report) + "<body>\n" + heading +
               escape(report.headline) + "</h1>\n<p class=\"covers\">" +
               escape(period_of(report)) + "</p>\n<div class=\"services\">\n";
    for (const auto& service : report.services)
    {
        out += write_service(report.day, service);
    }
    out += "</div>\n";
    out += write_section("Presets in force", preset_rows_of(report));
    out += write_section("Lagging", lagging_rows_of(report));
    out += write_section("Not counted", gap_rows_of(report));
    return out + "</body>\n</html>\n";
}

} // namespace briardrum
