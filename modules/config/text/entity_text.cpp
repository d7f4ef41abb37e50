#include "config/text/entity_text.hpp"

#include "config/text/json_fields.hpp"

#include <array>
#include <charconv>
#include <limits>

namespace briardrum
{

namespace
{

constexpr std::uint64_t service_id_max = std::numeric_limits<service_id>::max();

constexpr std::array<std::string_view, urgency_count> urgency_names = {
    "urgent", "normal", "bulk"};

// Indexed by method code; code 0 is not a method.
constexpr std::array<std::string_view, 8> method_names = {
    "", "GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "iPATCH"};

auto read_urgency(json_fields& fields, urgency& out) -> void
{
    std::string name;
    fields.text("urgency", name);
    if (name.empty())
    {
        return;
    }
    for (std::size_t n = 0; n < urgency_names.size(); ++n)
    {
        if (urgency_names.at(n) == name)
        {
            out = static_cast<urgency>(n);
            return;
        }
    }
    fields.add_problem("urgency", "\"" + name + "\"", "urgent, normal or bulk");
}

auto method_code(std::string_view name) -> std::uint8_t
{
    for (std::size_t code = 1; code < method_names.size(); ++code)
    {
        if (method_names.at(code) == name)
        {
            return static_cast<std::uint8_t>(code);
        }
    }
    return 0;
}

auto read_methods(json_fields& fields, method_set& out) -> void
{
    const auto* list = fields.array("repeatable");
    if (list == nullptr)
    {
        return;
    }
    method_set methods = 0;
    for (const auto& item : *list)
    {
        const auto code =
            item.is_string() ? method_code(item.get<std::string>()) : 0;
        if (code == 0)
        {
            fields.add_problem(
                "repeatable", item.dump(),
                "GET, POST, PUT, DELETE, FETCH, PATCH or iPATCH");
            continue;
        }
        methods |= method_bit(static_cast<std::uint8_t>(code));
    }
    out = methods;
}

auto to_hex(std::span<const std::uint8_t> bytes) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (const auto byte : bytes)
    {
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

auto read_hex(std::string_view text, std::span<std::uint8_t> out) -> bool
{
    if (text.size() != out.size() * 2)
    {
        return false;
    }
    for (auto& byte : out)
    {
        const auto* end = text.data() + 2;
        const auto [next, ec] = std::from_chars(text.data(), end, byte, 16);
        if (ec != std::errc{} || next != end)
        {
            return false;
        }
        text.remove_prefix(2);
    }
    return true;
}

} // namespace

auto to_string(urgency level) -> std::string_view
{
    return urgency_names.at(static_cast<std::size_t>(level));
}

auto methods_to_string(method_set methods) -> std::string
{
    std::string out;
    for (std::size_t code = 1; code < method_names.size(); ++code)
    {
        if ((methods & method_bit(static_cast<std::uint8_t>(code))) != 0)
        {
            out += out.empty() ? "" : ", ";
            out += method_names.at(code);
        }
    }
    return out;
}

auto to_json(const service& value) -> nlohmann::json
{
    nlohmann::json out = {{"id", value.id},
                          {"address", to_string(value.address)}};
    if (value.repeatable == default_repeatable_methods)
    {
        return out;
    }
    auto& list = out["repeatable"] = nlohmann::json::array();
    for (std::size_t code = 1; code < method_names.size(); ++code)
    {
        const auto bit = method_bit(static_cast<std::uint8_t>(code));
        if ((value.repeatable & bit) != 0)
        {
            list.push_back(method_names.at(code));
        }
    }
    return out;
}

auto to_json(const service_policy& value) -> nlohmann::json
{
    const service_policy defaults;
    nlohmann::json out = {{"share_percent", value.share_percent}};
    const auto put_if_changed =
        [&](const char* name, auto field, auto by_default)
    {
        if (field != by_default)
        {
            out[name] = field;
        }
    };
    put_if_changed("urgency", to_string(value.level),
                   to_string(defaults.level));
    put_if_changed("queue_limit", value.queue_limit, defaults.queue_limit);
    put_if_changed("default_deadline_ms", value.default_deadline.count,
                   defaults.default_deadline.count);
    put_if_changed("objective_ppm", value.objective_ppm,
                   defaults.objective_ppm);
    put_if_changed("objective_latency_ms", value.objective_latency.count,
                   defaults.objective_latency.count);
    put_if_changed("retry_percent", value.retry_percent,
                   defaults.retry_percent);
    return out;
}

auto to_json(const cookie_key& value) -> nlohmann::json
{
    return {{"id", value.id}, {"secret", to_hex(value.secret)}};
}

auto read_service(const nlohmann::json& object, const std::string& path,
                  problem_list& problems) -> service
{
    service out;
    json_fields fields(object, path, problems);
    fields.number("id", 1, service_id_max, out.id);
    fields.require("address");
    fields.address("address", out.address);
    read_methods(fields, out.repeatable);
    fields.finish();
    return out;
}

auto read_policy(const nlohmann::json& object, const std::string& path,
                 problem_list& problems, const service_policy& base)
    -> service_policy
{
    auto out = base;
    json_fields fields(object, path, problems);
    fields.number("share_percent", 1, 100, out.share_percent);
    read_urgency(fields, out.level);
    fields.number("queue_limit", 1, 100'000, out.queue_limit);
    fields.time("default_deadline_ms", milliseconds(10), minutes(10),
                out.default_deadline);
    fields.number("objective_ppm", 1, 1'000'000, out.objective_ppm);
    fields.time("objective_latency_ms", milliseconds(1), minutes(10),
                out.objective_latency);
    fields.number("retry_percent", 0, 100, out.retry_percent);
    fields.finish();
    return out;
}

auto read_policy_fields(const nlohmann::json& object, const std::string& path,
                        problem_list& problems) -> policy_fields
{
    const auto value = read_policy(object, path, problems);
    policy_fields out;
    const auto copy_if_present = [&](const char* name, auto& target, auto found)
    {
        if (object.contains(name))
        {
            target = found;
        }
    };
    copy_if_present("share_percent", out.share_percent, value.share_percent);
    copy_if_present("urgency", out.level, value.level);
    copy_if_present("queue_limit", out.queue_limit, value.queue_limit);
    copy_if_present("default_deadline_ms", out.default_deadline,
                    value.default_deadline);
    copy_if_present("objective_ppm", out.objective_ppm, value.objective_ppm);
    copy_if_present("objective_latency_ms", out.objective_latency,
                    value.objective_latency);
    copy_if_present("retry_percent", out.retry_percent, value.retry_percent);
    return out;
}

auto read_cookie_key(const nlohmann::json& object, const std::string& path,
                     problem_list& problems) -> cookie_key
{
    cookie_key out;
    json_fields fields(object, path, problems);
    fields.require("id");
    fields.number("id", 0, 255, out.id);
    fields.require("secret");
    std::string digits;
    fields.text("secret", digits);
    if (!digits.empty() && !read_hex(digits, out.secret))
    {
        fields.add_problem("secret",
                           std::to_string(digits.size()) + " characters",
                           "64 hexadecimal digits");
    }
    fields.finish();
    return out;
}

} // namespace briardrum
