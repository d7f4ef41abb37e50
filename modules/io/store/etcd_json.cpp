#include "io/store/etcd_json.hpp"

#include <absl/strings/escaping.h>

namespace briardrum
{

namespace
{

using nlohmann::json;

auto encode(std::string_view text) -> std::string
{
    return absl::Base64Escape({text.data(), text.size()});
}

auto decode(const json& object, const char* name) -> std::string
{
    std::string out;
    const auto text = object.value(name, std::string());
    return absl::Base64Unescape(text, &out) ? out : std::string();
}

// A 64-bit number, which stands as a string, or 0 when it is left out.
auto number(const json& object, const char* name) -> std::int64_t
{
    const auto it = object.find(name);
    if (it == object.end())
    {
        return 0;
    }
    return it->is_string() ? std::stoll(it->get<std::string>())
                           : it->get<std::int64_t>();
}

auto revision_of(const json& object) -> store_revision
{
    const auto it = object.find("header");
    return it == object.end() ? 0 : number(*it, "revision");
}

// A cluster that is restored from a snapshot gets another id.
auto era_of(const json& object) -> store_era
{
    const auto it = object.find("header");
    if (it == object.end() || !it->contains("cluster_id"))
    {
        return 0;
    }
    const auto& id = it->at("cluster_id");
    return id.is_string() ? std::stoull(id.get<std::string>())
                          : id.get<store_era>();
}

auto write_compare(const store_compare& compare) -> json
{
    if (compare.target == store_compare::field::value)
    {
        return {{"key", encode(compare.key)},
                {"result", "EQUAL"},
                {"target", "VALUE"},
                {"value", encode(compare.expected_value)}};
    }
    const auto is_create =
        compare.target == store_compare::field::create_revision;
    json out = {{"key", encode(compare.key)},
                {"result", "EQUAL"},
                {"target", is_create ? "CREATE" : "MOD"}};
    out[is_create ? "create_revision" : "mod_revision"] =
        std::to_string(compare.expected);
    return out;
}

auto write_write(const store_write& write) -> json
{
    if (write.removed)
    {
        return {{"request_delete_range", {{"key", encode(write.key)}}}};
    }
    json put = {{"key", encode(write.key)}, {"value", encode(write.value)}};
    if (write.lease != 0)
    {
        put["lease"] = std::to_string(write.lease);
    }
    return {{"request_put", put}};
}

// Runs a reader on parsed JSON; anything it throws makes the answer one that
// cannot be read.
template <typename Result, typename Reader>
auto read(std::string_view text, Reader reader) -> absl::StatusOr<Result>
{
    try
    {
        return reader(json::parse(text));
    }
    catch (const std::exception& error)
    {
        return make_error(error_kind::malformed,
                          std::string("answer of the store: ") + error.what());
    }
}

auto read_value(const json& object) -> store_value
{
    return {decode(object, "key"), decode(object, "value"),
            number(object, "create_revision"), number(object, "mod_revision")};
}

auto read_event(const json& object) -> store_event
{
    const auto value = read_value(object.at("kv"));
    const auto removed = object.value("type", "PUT") == "DELETE";
    return {value.key, value.value, removed, value.mod_revision};
}

} // namespace

auto write_range(const store_range& request) -> json
{
    json out = {{"key", encode(request.key)}};
    if (!request.range_end.empty())
    {
        out["range_end"] = encode(request.range_end);
    }
    if (request.limit != 0)
    {
        out["limit"] = std::to_string(request.limit);
    }
    if (request.revision != 0)
    {
        out["revision"] = std::to_string(request.revision);
    }
    return out;
}

auto write_transaction(const store_transaction& request) -> json
{
    json out = {{"compare", json::array()}, {"success", json::array()}};
    for (const auto& compare : request.compares)
    {
        out["compare"].push_back(write_compare(compare));
    }
    for (const auto& write : request.writes)
    {
        out["success"].push_back(write_write(write));
    }
    return out;
}

auto write_lease_grant(millis span) -> json
{
    // The store counts leases in whole seconds.
    return {{"TTL", std::to_string((span.count + 999) / 1000)}};
}

auto write_keep_alive(lease_id id) -> json
{
    return {{"ID", std::to_string(id)}};
}

auto write_watch(const store_watch& request) -> json
{
    json create = {{"key", encode(request.key)},
                   {"start_revision", std::to_string(request.start_revision)},
                   {"progress_notify", true}};
    if (!request.range_end.empty())
    {
        create["range_end"] = encode(request.range_end);
    }
    return {{"create_request", create}};
}

auto read_range_result(std::string_view text)
    -> absl::StatusOr<store_range_result>
{
    return read<store_range_result>(
        text,
        [](const json& object)
        {
            store_range_result out;
            out.revision = revision_of(object);
            out.more = object.value("more", false);
            out.era = era_of(object);
            for (const auto& item : object.value("kvs", json::array()))
            {
                out.values.push_back(read_value(item));
            }
            return out;
        });
}

auto read_commit_result(std::string_view text)
    -> absl::StatusOr<store_commit_result>
{
    return read<store_commit_result>(
        text,
        [](const json& object)
        {
            return store_commit_result{object.value("succeeded", false),
                                       revision_of(object), era_of(object)};
        });
}

auto read_lease(std::string_view text) -> absl::StatusOr<store_lease>
{
    return read<store_lease>(
        text,
        [](const json& object)
        {
            const auto& body =
                object.contains("result") ? object.at("result") : object;
            return store_lease{number(body, "ID"), seconds(number(body, "TTL")),
                               era_of(body)};
        });
}

auto read_watch_batch(std::string_view text)
    -> absl::StatusOr<store_watch_batch>
{
    return read<store_watch_batch>(
        text,
        [](const json& object)
        {
            store_watch_batch out;
            const auto& result = object.at("result");
            out.revision = revision_of(result);
            out.era = era_of(result);
            out.compacted = number(result, "compact_revision") != 0;
            for (const auto& item : result.value("events", json::array()))
            {
                out.events.push_back(read_event(item));
            }
            return out;
        });
}

} // namespace briardrum
