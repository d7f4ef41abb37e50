#include "io/http/metrics_text.hpp"

namespace briardrum
{

namespace
{

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
