#ifndef BRIARDRUM_IO_SERVER_SERVER_PROBE_HPP
#define BRIARDRUM_IO_SERVER_SERVER_PROBE_HPP

#include "io/server/announcement_check.hpp"

#include <array>
#include <asio.hpp>
#include <functional>

namespace briardrum
{

struct server_probe_hooks
{
    // The backend server announced the agent's service, for the first time or
    // after it was lost.
    std::function<void(const server_announcement&)> on_ready;
    // It is gone, silent, or another service's.
    std::function<void()> on_lost;
    event_sink events;
};

// Asks the backend server every probe_interval what it is, and tells apart
// the agent's own service from anything else that may listen there: addresses
// of VMs are used again.
class server_probe
{
public:
    static constexpr millis probe_interval = seconds(1);
    // Probes without an answer after which the server counts as lost.
    static constexpr std::uint32_t silent_probes_max = 5;

    server_probe(asio::io_context& context, const endpoint& server,
                 std::string service, server_probe_hooks hooks);

    auto tick(millis now) -> void;

    // True while the server is known to be of the own service.
    auto is_ready() const -> bool;

    // Why it is not ready, for a person.
    auto reason() const -> const std::string&;

private:
    auto open() -> bool;
    auto send() -> void;
    auto wait() -> void;
    auto read() -> void;
    auto take_answer(byte_view datagram) -> void;
    auto lose(const std::string& reason) -> void;
    auto report_lost(bool was_ready, const std::string& reason) -> void;

    static constexpr std::size_t buffer_bytes = 2048;

    asio::ip::udp::socket socket_;
    endpoint server_;
    announcement_check check_;
    server_probe_hooks hooks_;
    std::array<std::uint8_t, buffer_bytes> incoming_{};
    millis next_probe_;
    std::uint32_t unanswered_ = 0;
    std::string reason_ = "the backend server was not asked yet";
};

} // namespace briardrum

#endif
