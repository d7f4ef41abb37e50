#include "report/page/request_plot.hpp"

#include "report/format/numbers.hpp"

#include <algorithm>
#include <array>

namespace briardrum
{

namespace
{

constexpr std::size_t bar_count = 96;
constexpr millis bar_interval = minutes(15);
// Dimensions in SVG user units.
constexpr double bar_width = 6;
constexpr double plot_width = bar_width * static_cast<double>(bar_count);
constexpr double plot_height = 90;
constexpr double axis_height = 16;
constexpr double caption_height = 14;

using bars = std::array<day_point, bar_count>;

auto aggregate_bars(const report_day& day, const service_day& service) -> bars
{
    bars out{};
    for (const auto& point : service.points)
    {
        const auto n = (point.start - day.from).count / bar_interval.count;
        auto& into = out.at(static_cast<std::size_t>(n));
        into.total += point.total;
        into.bad += point.bad;
    }
    return out;
}

auto rect(const char* css_class, double x, double y, double height)
    -> std::string
{
    return "<rect class=\"" + std::string(css_class) + "\" x=\"" +
           format_number(x, 1) + "\" y=\"" + format_number(y, 1) +
           "\" width=\"" + format_number(bar_width - 1, 1) + "\" height=\"" +
           format_number(height, 1) + "\"/>";
}

// Draws one stacked bar, with good requests on top of bad ones.
auto draw_bar(std::size_t n, const day_point& point, std::uint64_t max_total)
    -> std::string
{
    if (point.total == 0)
    {
        return "";
    }
    const auto scale = plot_height / static_cast<double>(max_total);
    const auto x = static_cast<double>(n) * bar_width;
    const auto baseline = caption_height + plot_height;
    auto bad = static_cast<double>(point.bad) * scale;
    // Keep even a single bad request visible.
    if (point.bad > 0)
    {
        bad = std::max(bad, 2.0);
    }
    const auto all = std::max(static_cast<double>(point.total) * scale, bad);
    std::string out;
    if (all > bad)
    {
        out += rect("good", x, baseline - all, all - bad);
    }
    if (point.bad > 0)
    {
        out += rect("bad", x, baseline - bad, bad);
    }
    return out;
}

auto text(double x, double y, const char* anchor, const std::string& content)
    -> std::string
{
    return "<text x=\"" + format_number(x, 1) + "\" y=\"" +
           format_number(y, 1) + "\" text-anchor=\"" + anchor + "\">" +
           content + "</text>";
}

auto hour_labels() -> std::string
{
    std::string out;
    const auto y = caption_height + plot_height + axis_height - 4;
    for (int hour = 0; hour <= 24; hour += 6)
    {
        const auto x = plot_width * hour / 24;
        const auto* anchor = hour == 0    ? "start"
                             : hour == 24 ? "end"
                                          : "middle";
        out += text(x, y, anchor, format_time(minutes(60) * hour, {}));
    }
    return out;
}

} // namespace

auto write_request_plot(const report_day& day, const service_day& service)
    -> std::string
{
    const auto bars_of_day = aggregate_bars(day, service);
    std::uint64_t max_total = 1;
    for (const auto& point : bars_of_day)
    {
        max_total = std::max(max_total, point.total);
    }
    const auto baseline = format_number(caption_height + plot_height, 1);
    auto out = "<svg viewBox=\"0 0 " + format_number(plot_width, 0) + " " +
               format_number(caption_height + plot_height + axis_height, 0) +
               "\" role=\"img\" aria-label=\"Requests of " + service.name +
               " in each quarter of an hour\">\n";
    const auto caption = "requests a quarter of an hour, at most " +
                         format_count(max_total) +
                         (service.counts.bad() > 0 ? "; red: not good" : "");
    out += text(0, caption_height - 4, "start", caption);
    for (std::size_t n = 0; n < bars_of_day.size(); ++n)
    {
        out += draw_bar(n, bars_of_day.at(n), max_total);
    }
    out += "<line x1=\"0\" x2=\"" + format_number(plot_width, 1) + "\" y1=\"" +
           baseline + "\" y2=\"" + baseline + "\"/>" + hour_labels() +
           "\n</svg>\n";
    return out;
}

} // namespace briardrum
