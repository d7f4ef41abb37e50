#include "stand_ins/packet_site/platform_store.hpp"

#include "stand_ins/store/memory_store.hpp"

#include <absl/strings/escaping.h>
#include <atomic>
#include <chrono>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace briardrum::stand_in
{

namespace
{

using nlohmann::json;

// Each open connection holds a thread, also between two calls: enough for two
// connections of each of 200 processes.
constexpr std::size_t worker_threads = 400;
constexpr std::chrono::milliseconds watch_interval(5);
constexpr int status_down = 503;
constexpr int status_not_found = 404;
constexpr int status_compacted = 410;
constexpr int status_conflict = 412;
constexpr const char* json_type = "application/json";

auto write_item(const store_value& item) -> json
{
    return {{"key", item.key},
            {"value", absl::Base64Escape(item.value)},
            {"revision", item.mod_revision},
            {"createRev", item.create_revision},
            {"lease", 0}};
}

auto write_event(const store_event& item) -> json
{
    json out = {{"key", item.key}, {"revision", item.mod_revision}};
    if (item.removed)
    {
        out["removed"] = true;
    }
    else
    {
        out["value"] = absl::Base64Escape(item.value);
    }
    return out;
}

auto read_transaction(const json& from) -> store_transaction
{
    store_transaction out;
    for (const auto& it : from["expect"])
    {
        out.compares.push_back(
            {it["key"], store_compare::field::mod_revision, it["revision"]});
    }
    for (const auto& it : from["put"])
    {
        std::string value;
        absl::Base64Unescape(it["value"].get<std::string>(), &value);
        out.writes.push_back({it["key"], value, false, 0});
    }
    for (const auto& it : from["remove"])
    {
        out.writes.push_back({it, "", true, 0});
    }
    return out;
}

auto prefix_range(const std::string& prefix) -> store_range
{
    store_range out;
    out.key = prefix;
    out.range_end = prefix_end(prefix);
    return out;
}

} // namespace

struct platform_store::state
{
    httplib::Server server;
    std::thread thread;
    std::atomic<bool> stopping = false;
    std::atomic<bool> down = false;
    std::mutex mutex;
    memory_store data;

    auto add_calls() -> void
    {
        server.set_pre_routing_handler(
            [this](const httplib::Request&, httplib::Response& out)
            {
                if (!down)
                {
                    return httplib::Server::HandlerResponse::Unhandled;
                }
                out.status = status_down;
                return httplib::Server::HandlerResponse::Handled;
            });
        server.set_post_routing_handler(
            [this](const httplib::Request&, httplib::Response& out)
            {
                const std::lock_guard lock(mutex);
                out.set_header("Store-Era", std::to_string(data.era()));
            });
        server.Get("/v1/kv-key",
                   [this](const httplib::Request& in, httplib::Response& out)
                   {
                       answer_key(in, out);
                   });
        server.Get("/v1/kv-range",
                   [this](const httplib::Request& in, httplib::Response& out)
                   {
                       answer_range(in, out);
                   });
        server.Get("/v1/kv-watch",
                   [this](const httplib::Request& in, httplib::Response& out)
                   {
                       answer_watch(in, out);
                   });
        server.Post("/v1/kv-txn",
                    [this](const httplib::Request& in, httplib::Response& out)
                    {
                        answer_transaction(in, out);
                    });
    }

    auto answer_key(const httplib::Request& in, httplib::Response& out) -> void
    {
        const std::lock_guard lock(mutex);
        store_range request;
        request.key = in.get_param_value("key");
        const auto found = data.range(request);
        json answer = json::object();
        if (found.values.empty())
        {
            out.status = status_not_found;
        }
        else
        {
            answer = write_item(found.values.front());
        }
        answer["currentRev"] = found.revision;
        out.set_content(answer.dump(), json_type);
    }

    auto answer_range(const httplib::Request& in, httplib::Response& out)
        -> void
    {
        const std::lock_guard lock(mutex);
        const auto found =
            data.range(prefix_range(in.get_param_value("prefix")));
        json answer = {{"items", json::array()},
                       {"hasMore", false},
                       {"currentRev", found.revision}};
        for (const auto& it : found.values)
        {
            answer["items"].push_back(write_item(it));
        }
        out.set_content(answer.dump(), json_type);
    }

    auto answer_watch(const httplib::Request& in, httplib::Response& out)
        -> void
    {
        const auto range = prefix_range(in.get_param_value("prefix"));
        const store_watch request{range.key, range.range_end,
                                  std::stoll(in.get_param_value("after")) + 1};
        const auto end = clock::now() +
                         milliseconds(std::stoll(in.get_param_value("waitMs")));
        json events = json::array();
        store_revision at = 0;
        while (events.empty() && clock::now() < end && !stopping && !down)
        {
            std::this_thread::sleep_for(watch_interval);
            const std::lock_guard lock(mutex);
            const auto found = data.events_since(request);
            if (!found.has_value() ||
                request.start_revision > data.revision() + 1)
            {
                out.status = status_compacted;
                return;
            }
            at = data.revision();
            for (const auto& it : *found)
            {
                events.push_back(write_event(it));
            }
        }
        const json answer = {{"events", events}, {"currentRev", at}};
        out.set_content(answer.dump(), json_type);
    }

    auto answer_transaction(const httplib::Request& in, httplib::Response& out)
        -> void
    {
        const std::lock_guard lock(mutex);
        const auto done = data.commit(read_transaction(json::parse(in.body)));
        out.status = done.succeeded ? 200 : status_conflict;
        const json answer = {{"revision", done.revision}};
        out.set_content(answer.dump(), json_type);
    }
};

platform_store::platform_store() : state_(std::make_unique<state>())
{
    state_->server.new_task_queue = []
    {
        return new httplib::ThreadPool(worker_threads);
    };
    state_->server.set_tcp_nodelay(true);
    state_->add_calls();
}

platform_store::~platform_store()
{
    state_->stopping = true;
    state_->server.stop();
    if (state_->thread.joinable())
    {
        state_->thread.join();
    }
}

auto platform_store::start(const endpoint& local) -> bool
{
    const auto text = to_string(local);
    const auto address = text.substr(0, text.find(':'));
    if (!state_->server.bind_to_port(address, local.port))
    {
        return false;
    }
    state_->thread = std::thread(
        [this]
        {
            state_->server.listen_after_bind();
        });
    return true;
}

auto platform_store::put(const std::string& key, const std::string& value)
    -> void
{
    const std::lock_guard lock(state_->mutex);
    store_transaction request;
    request.writes.push_back({key, value, false, 0});
    state_->data.commit(request);
}

auto platform_store::remove(const std::string& key) -> void
{
    const std::lock_guard lock(state_->mutex);
    store_transaction request;
    request.writes.push_back({key, "", true, 0});
    state_->data.commit(request);
}

auto platform_store::copy() const -> memory_store
{
    const std::lock_guard lock(state_->mutex);
    return state_->data;
}

auto platform_store::restore(const memory_store& from) -> void
{
    const std::lock_guard lock(state_->mutex);
    state_->data.restore(from);
}

auto platform_store::set_down(bool down) -> void
{
    state_->down = down;
}

} // namespace briardrum::stand_in
