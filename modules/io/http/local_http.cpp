#include "io/http/local_http.hpp"

#include <chrono>
#include <future>
#include <httplib.h>
#include <optional>
#include <thread>
#include <utility>

namespace briardrum
{

namespace
{

constexpr std::size_t worker_threads = 2;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr const char* metrics_type = "text/plain; version=0.0.4";
constexpr const char* json_type = "application/json";
constexpr const char* plain_type = "text/plain";

auto address_text(const endpoint& value) -> std::string
{
    const auto text = to_string(value);
    return text.substr(0, text.find(':'));
}

} // namespace

struct local_http::state
{
    local_http_hooks hooks;
    httplib::Server server;
    std::thread thread;

    // Runs a question on the process's thread; nothing when it is stuck.
    template <typename Answer>
    auto ask(const std::function<Answer()>& question) -> std::optional<Answer>
    {
        const auto answer = std::make_shared<std::promise<Answer>>();
        auto later = answer->get_future();
        hooks.post(
            [answer, question]
            {
                answer->set_value(question());
            });
        const std::chrono::milliseconds bound(answer_timeout.count);
        if (later.wait_for(bound) != std::future_status::ready)
        {
            return std::nullopt;
        }
        return later.get();
    }

    auto answer_text(const std::function<std::string()>& question,
                     const char* type, httplib::Response& out) -> void
    {
        const auto text = ask(question);
        out.status = text.has_value() ? status_ok : status_unavailable;
        out.set_content(text.value_or("the process does not respond\n"),
                        text.has_value() ? type : plain_type);
    }

    auto answer_health(httplib::Response& out) -> void
    {
        const auto report =
            ask(hooks.health)
                .value_or(health_report{false, "the process does not respond"});
        out.status = report.ready ? status_ok : status_unavailable;
        out.set_content(report.reason + "\n", plain_type);
    }
};

local_http::local_http(local_http_hooks hooks)
    : state_(std::make_unique<state>())
{
    state_->hooks = std::move(hooks);
    state_->server.new_task_queue = []
    {
        return new httplib::ThreadPool(worker_threads);
    };
    state_->server.set_keep_alive_max_count(1);
    state_->server.Get("/metrics",
                       [this](const httplib::Request&, httplib::Response& out)
                       {
                           state_->answer_text(state_->hooks.metrics,
                                               metrics_type, out);
                       });
    if (state_->hooks.report)
    {
        state_->server.Get(
            "/report",
            [this](const httplib::Request&, httplib::Response& out)
            {
                state_->answer_text(state_->hooks.report, json_type, out);
            });
    }
    state_->server.Get("/healthz",
                       [this](const httplib::Request&, httplib::Response& out)
                       {
                           state_->answer_health(out);
                       });
}

local_http::~local_http()
{
    state_->server.stop();
    if (state_->thread.joinable())
    {
        state_->thread.join();
    }
}

auto local_http::start(const endpoint& local) -> absl::Status
{
    if (!state_->server.bind_to_port(address_text(local).c_str(), local.port))
    {
        return make_error(error_kind::unavailable, "HTTP address " +
                                                       to_string(local) +
                                                       ": cannot be bound");
    }
    state_->thread = std::thread(
        [this]
        {
            state_->server.listen_after_bind();
        });
    return absl::OkStatus();
}

} // namespace briardrum
