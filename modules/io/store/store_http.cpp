#include "io/store/store_http.hpp"

#include <chrono>

namespace briardrum
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_server_error = 500;

auto to_chrono(millis span) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(span.count);
}

// True when the request cannot have reached the store.
auto is_unsent(httplib::Error error) -> bool
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

} // namespace

auto make_http_client(const endpoint& address, millis connect_timeout,
                      millis read_timeout) -> std::unique_ptr<httplib::Client>
{
    const auto text = to_string(address);
    auto out = std::make_unique<httplib::Client>(text.substr(0, text.find(':')),
                                                 address.port);
    out->set_connection_timeout(to_chrono(connect_timeout));
    out->set_read_timeout(to_chrono(read_timeout));
    out->set_write_timeout(to_chrono(connect_timeout));
    out->set_keep_alive(true);
    out->set_tcp_nodelay(true);
    return out;
}

auto read_answer(const httplib::Result& answer, bool is_write)
    -> absl::StatusOr<std::string>
{
    const auto lost =
        is_write ? error_kind::unknown_outcome : error_kind::unavailable;
    if (!answer)
    {
        const auto unsent = is_unsent(answer.error());
        return make_error(unsent ? error_kind::unavailable : lost,
                          "the store: " + httplib::to_string(answer.error()));
    }
    if (answer->status == status_ok)
    {
        return answer->body;
    }
    const auto text = "the store: status " + std::to_string(answer->status) +
                      " " + answer->body;
    const auto is_refusal = answer->status >= status_bad_request &&
                            answer->status < status_server_error;
    return make_error(is_refusal ? error_kind::invalid_argument : lost, text);
}

} // namespace briardrum
