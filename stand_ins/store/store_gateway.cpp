#include "stand_ins/store/store_gateway.hpp"

#include "stand_ins/store/gateway_json.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <httplib.h>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace briardrum::stand_in
{

namespace
{

// A waiting watch holds a thread.
constexpr std::size_t worker_threads = 96;
constexpr std::size_t calls_per_connection_max = 100'000;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
constexpr const char* json_type = "application/json";
constexpr std::chrono::milliseconds watch_interval(5);

} // namespace

struct store_gateway::state
{
    using handler = std::function<nlohmann::json(const nlohmann::json&)>;

    httplib::Server server;
    std::thread thread;
    endpoint local;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    memory_store data;
    store_faults faults;
    std::map<std::string, std::uint64_t> calls;

    // Takes the faults as they are now, and counts the call.
    auto begin_call(const std::string& path) -> store_faults
    {
        const std::lock_guard lock(mutex);
        ++calls[path];
        data.expire(clock::now());
        return faults;
    }

    // True when this write's answer is to be lost.
    auto take_lost_answer() -> bool
    {
        const std::lock_guard lock(mutex);
        if (faults.down_after_write)
        {
            faults.down = true;
            return true;
        }
        if (faults.lose_answers == 0)
        {
            return false;
        }
        --faults.lose_answers;
        return true;
    }

    auto add(const std::string& path, bool is_write, handler run) -> void
    {
        server.Post(path,
                    [this, is_write, run = std::move(run)](
                        const httplib::Request& in, httplib::Response& out)
                    {
                        answer(in, out, is_write, run);
                    });
    }

    auto answer(const httplib::Request& in, httplib::Response& out,
                bool is_write, const handler& run) -> void
    {
        const auto now_faults = begin_call(in.path);
        std::this_thread::sleep_for(
            std::chrono::milliseconds(now_faults.slow.count));
        if (now_faults.down)
        {
            out.status = status_unavailable;
            return;
        }
        try
        {
            const auto request = nlohmann::json::parse(in.body);
            const std::lock_guard lock(mutex);
            out.set_content(run(request).dump(), json_type);
        }
        catch (const std::exception& error)
        {
            out.status = status_bad_request;
            out.set_content(error.what(), "text/plain");
            return;
        }
        if (is_write && take_lost_answer())
        {
            out.status = status_unavailable;
            out.set_content("answer lost", "text/plain");
        }
    }

    auto add_calls() -> void
    {
        add("/v3/kv/range", false,
            [this](const nlohmann::json& in)
            {
                return write_answer(data.range(read_range(in)));
            });
        add("/v3/kv/txn", true,
            [this](const nlohmann::json& in)
            {
                return write_answer(data.commit(read_transaction(in)));
            });
        add("/v3/lease/grant", false,
            [this](const nlohmann::json& in)
            {
                return write_answer(
                    data.grant_lease(clock::now(), read_span(in)));
            });
        add("/v3/lease/keepalive", false,
            [this](const nlohmann::json& in)
            {
                return nlohmann::json{
                    {"result",
                     write_answer(data.keep_alive(clock::now(), read_id(in)))}};
            });
        server.Post("/v3/watch",
                    [this](const httplib::Request& in, httplib::Response& out)
                    {
                        answer_watch(in, out);
                    });
    }

    auto add_controls() -> void
    {
        server.Post("/stand_in/fault",
                    [this](const httplib::Request& in, httplib::Response& out)
                    {
                        set_faults(in.body, out);
                    });
        server.Post("/stand_in/compact",
                    [this](const httplib::Request&, httplib::Response& out)
                    {
                        const std::lock_guard lock(mutex);
                        data.compact();
                        out.status = status_ok;
                    });
        server.Get("/stand_in/calls",
                   [this](const httplib::Request&, httplib::Response& out)
                   {
                       const std::lock_guard lock(mutex);
                       out.set_content(nlohmann::json(calls).dump() + "\n",
                                       json_type);
                   });
    }

    auto set_faults(const std::string& text, httplib::Response& out) -> void
    {
        const auto parsed = parse_store_faults(text);
        if (!parsed.ok())
        {
            out.status = status_bad_request;
            return;
        }
        const std::lock_guard lock(mutex);
        faults = *parsed;
        if (faults.expire_leases)
        {
            data.expire_all();
        }
        out.status = status_ok;
    }

    auto answer_watch(const httplib::Request& in, httplib::Response& out)
        -> void
    {
        if (begin_call(in.path).down)
        {
            out.status = status_unavailable;
            return;
        }
        const auto request = read_watch(nlohmann::json::parse(in.body));
        const auto next =
            std::make_shared<store_revision>(request.start_revision);
        out.set_chunked_content_provider(
            json_type,
            [this, request, next](std::size_t offset, httplib::DataSink& sink)
            {
                return offset == 0 ? write_first_line(sink)
                                   : tell_events(request, *next, sink);
            });
    }

    // Tells that the watch is open.
    auto write_first_line(httplib::DataSink& sink) -> bool
    {
        store_watch_batch batch;
        {
            const std::lock_guard lock(mutex);
            batch.revision = data.revision();
            batch.era = data.era();
        }
        return write_line(sink, batch);
    }

    static auto write_line(httplib::DataSink& sink,
                           const store_watch_batch& batch) -> bool
    {
        const auto line = write_answer(batch).dump() + "\n";
        return sink.write(line.data(), line.size());
    }

    // Waits for events from next on and tells them; false ends the watch.
    auto tell_events(store_watch request, store_revision& next,
                     httplib::DataSink& sink) -> bool
    {
        store_watch_batch batch;
        store_faults now_faults;
        while (batch.events.empty() && !batch.compacted)
        {
            std::this_thread::sleep_for(watch_interval);
            const std::lock_guard lock(mutex);
            now_faults = faults;
            if (stopping || now_faults.down || !sink.is_writable())
            {
                return false;
            }
            if (now_faults.silent_watches)
            {
                // What happens now is never told by this watch.
                next = data.revision() + 1;
                continue;
            }
            request.start_revision = next;
            collect(request, batch);
        }
        next = batch.revision + 1;
        std::this_thread::sleep_for(
            std::chrono::milliseconds(now_faults.late_events.count));
        const auto told = write_line(sink, batch);
        return now_faults.repeat_events ? told && write_line(sink, batch)
                                        : told;
    }

    auto collect(const store_watch& request, store_watch_batch& batch) -> void
    {
        data.expire(clock::now());
        auto events = data.events_since(request);
        batch.revision = data.revision();
        batch.era = data.era();
        batch.compacted = !events.has_value();
        if (events.has_value())
        {
            batch.events = *std::move(events);
        }
    }
};

store_gateway::store_gateway(store_faults faults)
    : state_(std::make_unique<state>())
{
    state_->faults = faults;
    state_->server.new_task_queue = []
    {
        return new httplib::ThreadPool(worker_threads);
    };
    state_->server.set_keep_alive_max_count(calls_per_connection_max);
    state_->server.set_tcp_nodelay(true);
    state_->add_calls();
    state_->add_controls();
}

store_gateway::~store_gateway()
{
    stop();
}

auto store_gateway::start(const endpoint& local) -> bool
{
    const auto text = to_string(local);
    const auto address = text.substr(0, text.find(':'));
    state_->local = local;
    if (local.port == 0)
    {
        const auto port = state_->server.bind_to_any_port(address);
        state_->local.port = static_cast<std::uint16_t>(std::max(port, 0));
    }
    else if (!state_->server.bind_to_port(address, local.port))
    {
        return false;
    }
    if (state_->local.port == 0)
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

auto store_gateway::local() const -> endpoint
{
    return state_->local;
}

auto store_gateway::stop() -> void
{
    state_->stopping = true;
    state_->server.stop();
    if (state_->thread.joinable())
    {
        state_->thread.join();
    }
}

} // namespace briardrum::stand_in
