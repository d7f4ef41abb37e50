#include "io/http/metrics_text.hpp"

namespace briardrum
{

namespace
{

// About three to a decade, around the users' latency objectives.
constexpr millis histogram_bounds[] = {
    milliseconds(5),   milliseconds(10),   milliseconds(25),
    milliseconds(50),  milliseconds(100),  milliseconds(200),
    milliseconds(500), milliseconds(1000), milliseconds(2000)};

auto escape(std::string_view value) -> std::string
{
    std::string out;
    for (const char letter : value)
    {
        if (letter == '"' || letter == '\\')
        {
            out += '\\';
        }
        out += letter == '\n' ? ' ' : letter;
    }
    return out;
}

} // namespace

auto metrics_text::counter(std::string_view name, std::uint64_t value,
                           metric_label label) -> void
{
    add("counter", name, value, label);
}

auto metrics_text::gauge(std::string_view name, std::uint64_t value,
                         metric_label label) -> void
{
    add("gauge", name, value, label);
}

auto metrics_text::add(std::string_view kind, std::string_view name,
                       std::uint64_t value, metric_label label) -> void
{
    const auto full = "briardrum_" + std::string(name);
    auto& lines = metrics_[full];
    if (lines.empty())
    {
        lines = "# TYPE " + full + " " + std::string(kind) + "\n";
    }
    lines += full;
    if (!label.name.empty())
    {
        lines +=
            "{" + std::string(label.name) + "=\"" + escape(label.value) + "\"}";
    }
    lines += " " + std::to_string(value) + "\n";
}

auto metrics_text::histogram(std::string_view name,
                             const latency_histogram& values) -> void
{
    const auto full = "briardrum_" + std::string(name);
    auto& lines = metrics_[full];
    lines = "# TYPE " + full + " histogram\n";
    const auto add_bucket = [&](const std::string& bound, std::uint64_t count)
    {
        lines += full + "_bucket{le=\"" + bound + "\"} " +
                 std::to_string(count) + "\n";
    };
    for (const auto& bound : histogram_bounds)
    {
        add_bucket(std::to_string(bound.count), values.count_within(bound));
    }
    add_bucket("+Inf", values.total());
    lines += full + "_count " + std::to_string(values.total()) + "\n";
}

auto metrics_text::text() const -> std::string
{
    std::string out;
    for (const auto& [name, lines] : metrics_)
    {
        out += lines;
    }
    return out;
}

} // namespace briardrum
