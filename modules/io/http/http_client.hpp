#ifndef BRIARDRUM_IO_HTTP_HTTP_CLIENT_HPP
#define BRIARDRUM_IO_HTTP_HTTP_CLIENT_HPP

#include "core/core.hpp"
#include "io/http/http_message.hpp"

#include <absl/status/statusor.h>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace briardrum
{

// How long a response may take once its first bytes have arrived.
struct http_response_limits
{
    // Time without further bytes: a packet that was lost is sent again within
    // about 300 ms.
    millis stall_timeout = milliseconds(500);
    // Time for the whole response. A body of body_bytes_max passes a link of 10
    // Mbit/s within it.
    millis duration_max = seconds(4);
};

// Makes HTTP/1.1 calls to one server, on the thread that runs the context.
//
// Each call has a deadline of its own, for a connection may go silent without
// an error. A response that is arriving then is waited for: how long that takes
// depends on its size and the link. One that missed a deadline is not used
// again, and neither are those that are kept for later calls then: what
// silences one silences all.
class http_client
{
public:
    using callback = std::function<void(absl::StatusOr<http_response>)>;

    // Calls that come often, one at a time, and one that waits long.
    static constexpr std::size_t idle_connections_max = 2;
    static constexpr std::size_t body_bytes_max = std::size_t{4} << 20U;

    // Each call that fails is logged to events, which may be empty.
    http_client(asio::io_context& context, const endpoint& server,
                event_sink events = nullptr, http_response_limits limits = {});
    ~http_client();
    http_client(const http_client&) = delete;
    auto operator=(const http_client&) -> http_client& = delete;

    // done runs once: with the response, with error_kind::unavailable when
    // the request did not reach the server, or error_kind::unknown_outcome
    // when it may have.
    auto call(const http_request& request, millis timeout, callback done)
        -> void;

    // Ends every call without running its callback.
    auto close() -> void;

private:
    class connection;

    auto take_connection() -> std::shared_ptr<connection>;
    auto keep(const std::shared_ptr<connection>& item) -> void;
    auto forget(const std::shared_ptr<connection>& item) -> void;
    auto close_idle_connections() -> void;

    asio::io_context& context_;
    endpoint server_;
    event_sink events_;
    http_response_limits limits_;
    std::vector<std::shared_ptr<connection>> idle_;
    std::vector<std::shared_ptr<connection>> used_;
};

} // namespace briardrum

#endif
