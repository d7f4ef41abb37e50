#include "io/operator/report_fetch.hpp"

#include <httplib.h>

namespace briardrum
{

namespace
{

constexpr std::time_t timeout_s = 3;
constexpr int status_ok = 200;

auto host_of(const endpoint& address) -> std::string
{
    const auto text = to_string(address);
    return text.substr(0, text.find(':'));
}

} // namespace

auto fetch_reports(const endpoint& daemon)
    -> absl::StatusOr<std::vector<process_report>>
{
    httplib::Client client(host_of(daemon), daemon.port);
    client.set_connection_timeout(timeout_s);
    client.set_read_timeout(timeout_s);
    const auto answer = client.Get("/report");
    if (!answer || answer->status != status_ok)
    {
        return make_error(error_kind::unavailable,
                          "no report from " + to_string(daemon));
    }
    return read_reports(answer->body);
}

} // namespace briardrum
