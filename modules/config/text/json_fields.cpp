#include "config/text/json_fields.hpp"

#include <utility>

namespace briardrum
{

json_fields::json_fields(const nlohmann::json& object, std::string path,
                         problem_list& problems)
    : object_(object), path_(std::move(path)), problems_(problems)
{
    if (!object.is_object())
    {
        problems_.add(path_.empty() ? "document" : path_, object.dump(),
                      "an object {...}");
    }
}

auto json_fields::path_of(std::string_view name) const -> std::string
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

auto json_fields::add_problem(std::string_view name, std::string_view found,
                              std::string_view allowed) -> void
{
    problems_.add(path_of(name), found, allowed);
}

auto json_fields::find(std::string_view name) -> const nlohmann::json*
{
    known_fields_.emplace(name);
    const auto it = object_.find(name);
    return it == object_.end() ? nullptr : &*it;
}

auto json_fields::require(std::string_view name) -> void
{
    if (object_.is_object() && find(name) == nullptr)
    {
        add_problem(name, "nothing", "a value (required field)");
    }
}

auto json_fields::read_number(std::string_view name, std::uint64_t min,
                              std::uint64_t max, std::uint64_t& out) -> bool
{
    const auto* value = find(name);
    if (value == nullptr)
    {
        return false;
    }
    if (value->is_number_unsigned())
    {
        const auto n = value->get<std::uint64_t>();
        if (n >= min && n <= max)
        {
            out = n;
            return true;
        }
    }
    add_problem(name, value->dump(),
                "a whole number from " + std::to_string(min) + " to " +
                    std::to_string(max));
    return false;
}

auto json_fields::time(std::string_view name, millis min, millis max,
                       millis& out) -> void
{
    number(name, static_cast<std::uint64_t>(min.count),
           static_cast<std::uint64_t>(max.count), out.count);
}

auto json_fields::text(std::string_view name, std::string& out) -> void
{
    const auto* value = find(name);
    if (value == nullptr)
    {
        return;
    }
    if (!value->is_string())
    {
        add_problem(name, value->dump(), "a string");
        return;
    }
    out = value->get<std::string>();
}

auto json_fields::address(std::string_view name, endpoint& out) -> void
{
    std::string value;
    text(name, value);
    if (value.empty())
    {
        return;
    }
    const auto parsed = parse_endpoint(value);
    if (!parsed.ok() || parsed->port == 0)
    {
        add_problem(name, "\"" + value + "\"", "an address like 10.0.0.1:5683");
        return;
    }
    out = *parsed;
}

auto json_fields::object(std::string_view name) -> const nlohmann::json*
{
    const auto* value = find(name);
    if (value != nullptr && !value->is_object())
    {
        add_problem(name, value->dump(), "an object {...}");
        return nullptr;
    }
    return value;
}

auto json_fields::array(std::string_view name) -> const nlohmann::json*
{
    const auto* value = find(name);
    if (value != nullptr && !value->is_array())
    {
        add_problem(name, value->dump(), "a list [...]");
        return nullptr;
    }
    return value;
}

auto json_fields::finish() -> void
{
    if (!object_.is_object())
    {
        return;
    }
    std::string known;
    for (const auto& name : known_fields_)
    {
        known += (known.empty() ? "" : ", ") + name;
    }
    for (const auto& [name, value] : object_.items())
    {
        if (!known_fields_.contains(name))
        {
            add_problem(name, "an unknown field", "one of " + known);
        }
    }
}

auto parse_json(std::string_view text) -> absl::StatusOr<nlohmann::json>
{
    try
    {
        return nlohmann::json::parse(text, nullptr, true, true);
    }
    catch (const nlohmann::json::parse_error& error)
    {
        return make_error(error_kind::invalid_argument, error.what());
    }
}

} // namespace briardrum
