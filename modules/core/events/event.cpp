#include "core/events/event.hpp"

namespace briardrum
{

namespace
{

auto append_value(std::string& out, const std::string& value) -> void
{
    const auto needs_no_quotes =
        !value.empty() && value.find_first_of(" =\"\n\t") == std::string::npos;
    if (needs_no_quotes)
    {
        out += value;
        return;
    }
    out += '"';
    for (const char character : value)
    {
        if (character == '\n')
        {
            out += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
        {
            out += '\\';
        }
        out += character;
    }
    out += '"';
}

} // namespace

event::event(std::string_view name, event_level level)
    : name_(name), level_(level)
{
}

auto event::with(std::string_view key, std::string value) && -> event&&
{
    fields_.emplace_back(key, std::move(value));
    return std::move(*this);
}

auto event::with(std::string_view key, std::string_view value) && -> event&&
{
    return std::move(*this).with(key, std::string(value));
}

auto event::with(std::string_view key, const char* value) && -> event&&
{
    return std::move(*this).with(key, std::string(value));
}

auto event::with(std::string_view key, std::uint64_t value) && -> event&&
{
    return std::move(*this).with(key, std::to_string(value));
}

auto event::name() const -> std::string_view
{
    return name_;
}

auto event::level() const -> event_level
{
    return level_;
}

auto event::line() const -> std::string
{
    auto out = "event=" + name_;
    for (const auto& [key, value] : fields_)
    {
        out += ' ';
        out += key;
        out += '=';
        append_value(out, value);
    }
    return out;
}

} // namespace briardrum
