#include "io/server/server_probe.hpp"

#include <utility>

namespace briardrum
{

using asio::ip::udp;

server_probe::server_probe(asio::io_context& context, const endpoint& server,
                           std::string service, server_probe_hooks hooks)
    : socket_(context), server_(server), check_(std::move(service)),
      hooks_(std::move(hooks))
{
}

auto server_probe::is_ready() const -> bool
{
    return check_.is_confirmed();
}

auto server_probe::reason() const -> const std::string&
{
    return reason_;
}

auto server_probe::tick(millis now) -> void
{
    if (now < next_probe_ || (!socket_.is_open() && !open()))
    {
        return;
    }
    next_probe_ = now + probe_interval;
    if (unanswered_ >= silent_probes_max)
    {
        lose("the backend server is silent");
    }
    send();
}

auto server_probe::open() -> bool
{
    const udp::endpoint peer(asio::ip::address_v4(server_.address),
                             server_.port);
    asio::error_code ec;
    socket_.connect(peer, ec);
    if (!ec)
    {
        socket_.non_blocking(true, ec);
    }
    if (ec)
    {
        asio::error_code ignored;
        socket_.close(ignored);
        lose("no socket towards the backend server: " + ec.message());
        return false;
    }
    wait();
    return true;
}

auto server_probe::send() -> void
{
    ++unanswered_;
    const auto datagram = write_announcement_request(check_.start_probe());
    asio::error_code ec;
    socket_.send(asio::buffer(datagram), 0, ec);
    if (ec == asio::error::connection_refused)
    {
        lose("nobody listens at the backend server's address");
    }
}

auto server_probe::wait() -> void
{
    socket_.async_wait(udp::socket::wait_read,
                       [this](asio::error_code ec)
                       {
                           if (ec)
                           {
                               return;
                           }
                           read();
                           wait();
                       });
}

auto server_probe::read() -> void
{
    asio::error_code ec;
    const auto count = socket_.receive(asio::buffer(incoming_), 0, ec);
    if (ec == asio::error::connection_refused)
    {
        lose("nobody listens at the backend server's address");
    }
    if (!ec)
    {
        take_answer(byte_view(incoming_).first(count));
    }
}

auto server_probe::take_answer(byte_view datagram) -> void
{
    const auto was_ready = is_ready();
    const auto verdict = check_.on_answer(datagram);
    if (verdict == announcement_verdict::ignored)
    {
        return;
    }
    unanswered_ = 0;
    switch (verdict)
    {
    case announcement_verdict::doubted:
        hooks_.events(event("server_doubted", event_level::warning)
                          .with("server", to_string(server_))
                          .with("reason", check_.problem()));
        send();
        return;
    case announcement_verdict::refuted:
        report_lost(was_ready, check_.problem());
        return;
    default:
        break;
    }
    if (!was_ready)
    {
        const auto& answer = check_.announcement();
        reason_.clear();
        hooks_.events(event("server_ready")
                          .with("server", to_string(server_))
                          .with("service", answer.service)
                          .with("slots", answer.slots));
        hooks_.on_ready(answer);
    }
}

auto server_probe::lose(const std::string& reason) -> void
{
    const auto was_ready = is_ready();
    check_.on_lost();
    report_lost(was_ready, reason);
}

auto server_probe::report_lost(bool was_ready, const std::string& reason)
    -> void
{
    if (reason_ != reason)
    {
        reason_ = reason;
        hooks_.events(event("server_not_ready", event_level::warning)
                          .with("server", to_string(server_))
                          .with("reason", reason));
    }
    if (was_ready)
    {
        hooks_.on_lost();
    }
}

} // namespace briardrum
