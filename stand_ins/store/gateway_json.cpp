#include "stand_ins/store/gateway_json.hpp"

#include <absl/strings/escaping.h>
#include <stdexcept>

namespace briardrum::stand_in
{

namespace
{

using nlohmann::json;

auto encode(std::string_view text) -> std::string
{
    return absl::Base64Escape({text.data(), text.size()});
}

auto decode(const json& in, const char* name) -> std::string
{
    std::string out;
    if (!absl::Base64Unescape(in.value(name, std::string()), &out))
    {
        throw std::invalid_argument(std::string(name) + " is not base64");
    }
    return out;
}

auto number(const json& in, const char* name) -> std::int64_t
{
    return std::stoll(in.value(name, std::string("0")));
}

auto header(store_revision revision, store_era era) -> json
{
    return {{"cluster_id", std::to_string(era)},
            {"revision", std::to_string(revision)}};
}

auto read_compare(const json& in) -> store_compare
{
    const auto is_create = in.at("target") == "CREATE";
    store_compare out;
    out.key = decode(in, "key");
    if (in.at("target") == "VALUE")
    {
        out.target = store_compare::field::value;
        out.expected_value = decode(in, "value");
        return out;
    }
    out.target = is_create ? store_compare::field::create_revision
                           : store_compare::field::mod_revision;
    out.expected = number(in, is_create ? "create_revision" : "mod_revision");
    return out;
}

auto read_write(const json& in) -> store_write
{
    if (in.contains("request_delete_range"))
    {
        return {decode(in.at("request_delete_range"), "key"), "", true, 0};
    }
    const auto& put = in.at("request_put");
    return {decode(put, "key"), decode(put, "value"), false,
            number(put, "lease")};
}

auto write_event(const store_event& event) -> json
{
    json kv = {{"key", encode(event.key)},
               {"mod_revision", std::to_string(event.mod_revision)}};
    if (event.removed)
    {
        return {{"type", "DELETE"}, {"kv", kv}};
    }
    kv["value"] = encode(event.value);
    return {{"kv", kv}};
}

} // namespace

auto read_range(const json& in) -> store_range
{
    return {decode(in, "key"), decode(in, "range_end"), number(in, "limit"),
            number(in, "revision")};
}

auto read_transaction(const json& in) -> store_transaction
{
    constexpr std::size_t operations_max = 128;
    store_transaction out;
    for (const auto& item : in.value("compare", json::array()))
    {
        out.compares.push_back(read_compare(item));
    }
    for (const auto& item : in.value("success", json::array()))
    {
        out.writes.push_back(read_write(item));
    }
    if (out.writes.size() > operations_max)
    {
        throw std::invalid_argument("too many operations in a transaction");
    }
    return out;
}

auto read_span(const json& in) -> millis
{
    return seconds(number(in, "TTL"));
}

auto read_id(const json& in) -> lease_id
{
    return number(in, "ID");
}

auto read_watch(const json& in) -> store_watch
{
    const auto& create = in.at("create_request");
    return {decode(create, "key"), decode(create, "range_end"),
            number(create, "start_revision")};
}

auto write_answer(const store_range_result& out) -> json
{
    json answer = {{"header", header(out.revision, out.era)},
                   {"count", std::to_string(out.values.size())}};
    for (const auto& item : out.values)
    {
        answer["kvs"].push_back(
            {{"key", encode(item.key)},
             {"value", encode(item.value)},
             {"create_revision", std::to_string(item.create_revision)},
             {"mod_revision", std::to_string(item.mod_revision)}});
    }
    if (out.more)
    {
        answer["more"] = true;
    }
    return answer;
}

auto write_answer(const store_commit_result& out) -> json
{
    json answer = {{"header", header(out.revision, out.era)}};
    if (out.succeeded)
    {
        answer["succeeded"] = true;
    }
    return answer;
}

auto write_answer(const store_lease& out) -> json
{
    return {{"header", {{"cluster_id", std::to_string(out.era)}}},
            {"ID", std::to_string(out.id)},
            {"TTL", std::to_string(out.remaining.count / 1000)}};
}

auto write_answer(const store_watch_batch& out) -> json
{
    json result = {{"header", header(out.revision, out.era)}};
    if (out.compacted)
    {
        result["canceled"] = true;
        result["compact_revision"] = std::to_string(out.revision);
    }
    for (const auto& event : out.events)
    {
        result["events"].push_back(write_event(event));
    }
    return {{"result", result}};
}

} // namespace briardrum::stand_in
