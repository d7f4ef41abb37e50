#include "io/server/server_sessions.hpp"

#include <utility>

namespace briardrum
{

using asio::ip::udp;

server_sessions::server_sessions(asio::io_context& context,
                                 const endpoint& server,
                                 server_sessions_hooks hooks)
    : context_(&context), server_(server), hooks_(std::move(hooks))
{
}

server_sessions::~server_sessions()
{
    asio::error_code ignored;
    for (auto& it : sessions_.rows())
    {
        it.row->socket.close(ignored);
    }
}

auto server_sessions::send(millis now, const flow_key& flow, byte_view datagram)
    -> void
{
    const auto which = find_or_open(now, flow);
    if (which == nullptr)
    {
        ++dropped_;
        return;
    }
    which->used_at = now;
    asio::error_code ec;
    which->socket.send(asio::buffer(datagram.data(), datagram.size()), 0, ec);
    if (ec == asio::error::connection_refused)
    {
        // The refusal is of an earlier datagram: this one was not sent.
        which->socket.send(asio::buffer(datagram.data(), datagram.size()), 0,
                           ec);
        hooks_.on_refused();
    }
    dropped_ += ec ? 1 : 0;
}

auto server_sessions::find_or_open(millis now, const flow_key& flow)
    -> session_ptr
{
    if (auto* found = sessions_.find(flow))
    {
        return *found;
    }
    auto made = std::make_shared<session>(*context_);
    made->flow = flow;
    made->used_at = now;
    asio::error_code ec;
    const udp::endpoint peer(asio::ip::address_v4(server_.address),
                             server_.port);
    made->socket.connect(peer, ec);
    if (!ec)
    {
        made->socket.non_blocking(true, ec);
    }
    if (ec)
    {
        hooks_.events(event("session_not_opened", event_level::error)
                          .with("reason", ec.message())
                          .with("sessions", sessions_.size()));
        return nullptr;
    }
    sessions_.insert(flow, made);
    wait(made);
    return made;
}

auto server_sessions::wait(const session_ptr& which) -> void
{
    which->socket.async_wait(udp::socket::wait_read,
                             [this, which](asio::error_code ec)
                             {
                                 if (ec || !which->socket.is_open())
                                 {
                                     return;
                                 }
                                 read(which);
                                 if (which->socket.is_open())
                                 {
                                     wait(which);
                                 }
                             });
}

auto server_sessions::read(const session_ptr& which) -> void
{
    for (std::size_t n = 0; n < datagrams_per_read; ++n)
    {
        asio::error_code ec;
        const auto count =
            which->socket.receive(asio::buffer(incoming_), 0, ec);
        if (ec == asio::error::connection_refused)
        {
            hooks_.on_refused();
            return;
        }
        if (ec)
        {
            return;
        }
        which->used_at = clock::now();
        hooks_.on_datagram(which->flow, byte_view(incoming_).first(count));
        if (!which->socket.is_open())
        {
            return;
        }
    }
}

auto server_sessions::close(const flow_key& flow) -> void
{
    auto* found = sessions_.find(flow);
    if (found == nullptr)
    {
        return;
    }
    asio::error_code ignored;
    (*found)->socket.close(ignored);
    sessions_.erase(flow);
}

auto server_sessions::tick(millis now) -> void
{
    sessions_.erase_if(
        [&](const flow_key&, const session_ptr& it)
        {
            if (now - it->used_at < idle_timeout)
            {
                return false;
            }
            asio::error_code ignored;
            it->socket.close(ignored);
            return true;
        });
}

auto server_sessions::size() const -> std::size_t
{
    return sessions_.size();
}

auto server_sessions::dropped() const -> std::uint64_t
{
    return dropped_;
}

} // namespace briardrum
