#ifndef BRIARDRUM_IO_HTTP_LOCAL_HTTP_HPP
#define BRIARDRUM_IO_HTTP_LOCAL_HTTP_HPP

#include "core/core.hpp"

#include <absl/status/status.h>
#include <functional>
#include <memory>
#include <string>

namespace briardrum
{

// Whether a process can do its work, and if not, why.
struct health_report
{
    bool ready = false;
    std::string reason;
};

// What a process tells when asked. Both are called on the thread that runs
// the process, never on the HTTP thread.
struct local_http_hooks
{
    // Runs a task on the process's thread.
    std::function<void(std::function<void()>)> post;
    // Metrics in the Prometheus text format.
    std::function<std::string()> metrics;
    std::function<health_report()> health;
    // What was counted for the service-level report, as JSON; may be empty.
    std::function<std::string()> report;
};

// Answers GET /metrics, GET /report and GET /healthz (200 when ready, else 503
// with the reason) on a thread of its own. A process that does not run the task
// within answer_timeout is reported as stuck, by 503.
class local_http
{
public:
    static constexpr millis answer_timeout = seconds(2);

    explicit local_http(local_http_hooks hooks);
    ~local_http();
    local_http(const local_http&) = delete;
    auto operator=(const local_http&) -> local_http& = delete;

    // Binds and starts answering; error_kind::unavailable when the address
    // cannot be had.
    auto start(const endpoint& local) -> absl::Status;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briardrum

#endif
