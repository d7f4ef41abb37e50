#include "config/settings/json_checker.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

using nlohmann::json;

constexpr std::size_t name_length_max = 64;
constexpr std::size_t shown_length_max = 60;
constexpr std::string_view name_rule =
    "1 to 64 letters, digits, '-', '_' and '.'";
constexpr std::string_view address_rule = "an address like \"10.0.0.1:5683\", "
                                          "port 1 to 65535";

auto is_name_character(char letter) -> bool
{
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
           letter == '.';
}

auto describe_range(number_range range) -> std::string
{
    return "a whole number from " + std::to_string(range.min) + " to " +
           std::to_string(range.max);
}

auto describe_names(std::span<const std::string_view> names) -> std::string
{
    std::string out = "one of";
    for (const auto& it : names)
    {
        out += " \"" + std::string(it) + "\"";
    }
    return out;
}

} // namespace

auto describe_json(const json& value) -> std::string
{
    if (value.is_object())
    {
        return "an object";
    }
    if (value.is_array())
    {
        return "a list";
    }
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > shown_length_max)
    {
        text.resize(shown_length_max);
        text += "...";
    }
    return text;
}

json_checker::json_checker(const json& value, std::string path,
                           json_problems& problems)
    : value_(&value), path_(std::move(path)), problems_(&problems)
{
    if (value_->is_object())
    {
        return;
    }
    const auto field = path_.empty() ? std::string("(document)") : path_;
    problems_->add({field, describe_json(value), "an object {...}"});
    value_ = nullptr;
}

auto json_checker::path_of(std::string_view field) const -> std::string
{
    const auto name = std::string(field);
    return path_.empty() ? name : path_ + "." + name;
}

auto json_checker::add_problem(std::string_view field, std::string found,
                               std::string allowed) -> void
{
    problems_->add({path_of(field), std::move(found), std::move(allowed)});
}

auto json_checker::find_field(std::string_view field) -> const json*
{
    known_fields_.emplace(field);
    if (value_ == nullptr)
    {
        return nullptr;
    }
    const auto it = value_->find(std::string(field));
    return it == value_->end() ? nullptr : &*it;
}

auto json_checker::find_required_field(std::string_view field,
                                       std::string_view allowed) -> const json*
{
    const auto* found = find_field(field);
    if (found == nullptr && value_ != nullptr)
    {
        add_problem(field, "nothing", std::string(allowed));
    }
    return found;
}

auto json_checker::name(std::string_view field) -> std::string
{
    const auto* found = find_required_field(field, name_rule);
    if (found == nullptr)
    {
        return {};
    }
    const auto* text = found->get_ptr<const std::string*>();
    const auto is_valid =
        text != nullptr && !text->empty() && text->size() <= name_length_max &&
        std::all_of(text->begin(), text->end(), is_name_character);
    if (!is_valid)
    {
        add_problem(field, describe_json(*found), std::string(name_rule));
        return {};
    }
    return *text;
}

auto json_checker::text(std::string_view field) -> std::string
{
    constexpr std::string_view allowed = "a non-empty string";
    const auto* found = find_required_field(field, allowed);
    if (found == nullptr)
    {
        return {};
    }
    const auto* value = found->get_ptr<const std::string*>();
    if (value == nullptr || value->empty())
    {
        add_problem(field, describe_json(*found), std::string(allowed));
        return {};
    }
    return *value;
}

auto json_checker::number(std::string_view field, number_range range)
    -> std::uint64_t
{
    const auto* found = find_required_field(field, describe_range(range));
    return found == nullptr ? range.min : read_number(field, *found, range);
}

auto json_checker::optional_number(std::string_view field, number_range range,
                                   std::uint64_t default_value) -> std::uint64_t
{
    const auto* found = find_field(field);
    return found == nullptr ? default_value : read_number(field, *found, range);
}

auto json_checker::read_number(std::string_view field, const json& value,
                               number_range range) -> std::uint64_t
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < range.min ||
        value.get<std::uint64_t>() > range.max)
    {
        add_problem(field, describe_json(value), describe_range(range));
        return range.min;
    }
    return value.get<std::uint64_t>();
}

auto json_checker::optional_real(std::string_view field, real_range range,
                                 double default_value) -> double
{
    const auto* found = find_field(field);
    if (found == nullptr)
    {
        return default_value;
    }
    const auto value = found->is_number() ? found->get<double>() : range.min;
    if (!found->is_number() || value < range.min || value > range.max)
    {
        add_problem(field, describe_json(*found),
                    "a number from " + json(range.min).dump() + " to " +
                        json(range.max).dump());
        return range.min;
    }
    return value;
}

auto json_checker::flag(std::string_view field) -> bool
{
    constexpr std::string_view allowed = "true or false";
    const auto* found = find_required_field(field, allowed);
    if (found == nullptr)
    {
        return false;
    }
    if (!found->is_boolean())
    {
        add_problem(field, describe_json(*found), std::string(allowed));
        return false;
    }
    return found->get<bool>();
}

auto json_checker::address(std::string_view field) -> endpoint
{
    const auto* found = find_required_field(field, address_rule);
    return found == nullptr ? endpoint{} : read_address(field, *found);
}

auto json_checker::read_address(std::string_view field, const json& value)
    -> endpoint
{
    const auto* text = value.get_ptr<const std::string*>();
    if (text != nullptr)
    {
        const auto parsed = parse_endpoint(*text);
        if (parsed.ok() && parsed->address != 0 && parsed->port != 0)
        {
            return *parsed;
        }
    }
    add_problem(field, describe_json(value), std::string(address_rule));
    return {};
}

auto json_checker::addresses(std::string_view field) -> std::vector<endpoint>
{
    constexpr std::string_view allowed = "a list of addresses";
    const auto* found = find_required_field(field, allowed);
    if (found == nullptr)
    {
        return {};
    }
    if (!found->is_array())
    {
        add_problem(field, describe_json(*found), std::string(allowed));
        return {};
    }
    std::vector<endpoint> out;
    for (std::size_t n = 0; n < found->size(); ++n)
    {
        const auto& value = (*found)[n];
        const auto item = std::string(field) + "[" + std::to_string(n) + "]";
        const auto read = read_address(item, value);
        if (read.is_none())
        {
            continue;
        }
        if (std::find(out.begin(), out.end(), read) != out.end())
        {
            add_problem(item, describe_json(value) + " again",
                        "each address only once");
            continue;
        }
        out.push_back(read);
    }
    return out;
}

auto json_checker::choice(std::string_view field,
                          std::span<const std::string_view> names)
    -> std::size_t
{
    const auto* found = find_required_field(field, describe_names(names));
    return found == nullptr ? 0 : read_choice(field, *found, names);
}

auto json_checker::optional_choice(std::string_view field,
                                   std::span<const std::string_view> names,
                                   std::size_t default_value) -> std::size_t
{
    const auto* found = find_field(field);
    return found == nullptr ? default_value : read_choice(field, *found, names);
}

auto json_checker::read_choice(std::string_view field, const json& value,
                               std::span<const std::string_view> names)
    -> std::size_t
{
    const auto* text = value.get_ptr<const std::string*>();
    const auto it = text == nullptr
                        ? names.end()
                        : std::find(names.begin(), names.end(), *text);
    if (it == names.end())
    {
        add_problem(field, describe_json(value), describe_names(names));
        return 0;
    }
    return static_cast<std::size_t>(it - names.begin());
}

auto json_checker::child(std::string_view field) -> const json*
{
    return find_required_field(field, "an object {...}");
}

auto json_checker::optional_child(std::string_view field) -> const json*
{
    return find_field(field);
}

auto json_checker::finish() -> void
{
    if (value_ == nullptr)
    {
        return;
    }
    std::string known;
    for (const auto& it : known_fields_)
    {
        known += known.empty() ? it : ", " + it;
    }
    for (const auto& [field, value] : value_->items())
    {
        if (!known_fields_.contains(field))
        {
            add_problem(field, "an unknown field", known);
        }
    }
}

auto parse_json(std::string_view text, json_problems& problems)
    -> std::optional<json>
{
    std::vector<std::set<std::string>> open_objects;
    auto valid = true;
    const auto detect_duplicate_fields = [&](int, json::parse_event_t event,
                                             json& value) -> bool
    {
        if (event == json::parse_event_t::object_start)
        {
            open_objects.emplace_back();
        }
        if (event == json::parse_event_t::object_end)
        {
            open_objects.pop_back();
        }
        if (event == json::parse_event_t::key &&
            !open_objects.back().insert(value.get<std::string>()).second)
        {
            problems.add({value.get<std::string>(), "the field twice",
                          "each field only once"});
            valid = false;
        }
        return true;
    };
    try
    {
        auto value = json::parse(text, detect_duplicate_fields, true, true);
        return valid ? std::optional(std::move(value)) : std::nullopt;
    }
    catch (const json::exception& ec)
    {
        problems.add(
            {"(document)", ec.what(), "JSON, optionally with comments"});
        return std::nullopt;
    }
}

} // namespace briardrum
