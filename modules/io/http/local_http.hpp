#ifndef BRIARDRUM_IO_HTTP_LOCAL_HTTP_HPP
#define BRIARDRUM_IO_HTTP_LOCAL_HTTP_HPP

#include "core/core.hpp"
#include "io/http/http_server.hpp"

#include <absl/status/status.h>
#include <functional>
#include <string>

namespace briardrum
{

// Whether a process can do its work, and if not, why.
struct health_report
{
    bool ready = false;
    std::string reason;
};

// What a process tells when asked.
struct local_http_hooks
{
    // Metrics in the Prometheus text format.
    std::function<std::string()> metrics;
    std::function<health_report()> health;
    // What was counted for the service-level report, as JSON; may be empty.
    std::function<std::string()> report;
};

// Answers GET /metrics, GET /report and GET /healthz (200 when ready, else 503
// with the reason) on the process's own thread, so that a stuck process is
// seen as one: it does not answer.
class local_http
{
public:
    local_http(asio::io_context& context, local_http_hooks hooks);

    // Binds and starts answering; error_kind::unavailable when the address
    // cannot be had.
    auto start(const endpoint& local) -> absl::Status;

private:
    auto answer(const http_request& request) const -> http_response;

    local_http_hooks hooks_;
    http_server server_;
};

} // namespace briardrum

#endif
