#include "io/http/local_http.hpp"

#include <utility>

namespace briardrum
{

namespace
{

constexpr const char* metrics_type = "text/plain; version=0.0.4";
constexpr const char* json_type = "application/json";

} // namespace

local_http::local_http(asio::io_context& context, local_http_hooks hooks)
    : hooks_(std::move(hooks)), server_(context,
                                        [this](const http_request& request)
                                        {
                                            return answer(request);
                                        })
{
}

auto local_http::start(const endpoint& local) -> absl::Status
{
    return server_.start(local);
}

auto local_http::answer(const http_request& request) const -> http_response
{
    if (request.method != "GET")
    {
        return {http_bad_request, "text/plain", "only GET is answered\n"};
    }
    if (request.target == "/metrics")
    {
        return {http_ok, metrics_type, hooks_.metrics()};
    }
    if (request.target == "/report" && hooks_.report)
    {
        return {http_ok, json_type, hooks_.report()};
    }
    if (request.target == "/healthz")
    {
        const auto health = hooks_.health();
        return {health.ready ? http_ok : http_unavailable, "text/plain",
                health.reason + "\n"};
    }
    return {http_not_found, "text/plain", "no such page\n"};
}

} // namespace briardrum
