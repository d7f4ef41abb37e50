#include "io/control/control_server.hpp"

#include <chrono>
#include <utility>

namespace briardrum
{

namespace
{

using asio::ip::tcp;

// Wait after accept() failed, as when no descriptor is left.
constexpr std::chrono::milliseconds accept_retry_interval(100);

auto name_of(const tcp::socket& socket) -> std::string
{
    asio::error_code ec;
    const auto peer = socket.remote_endpoint(ec);
    if (ec || !peer.address().is_v4())
    {
        return "unknown";
    }
    return to_string(endpoint{peer.address().to_v4().to_uint(), peer.port()});
}

} // namespace

control_server::control_server(
    asio::io_context& context,
    std::function<void(const control_message&)> on_message,
    control_counters& counters, event_sink events)
    : acceptor_(context), retry_(context), on_message_(std::move(on_message)),
      counters_(&counters), events_(std::move(events))
{
}

control_server::~control_server()
{
    close_all();
}

auto control_server::start(const endpoint& local) -> absl::Status
{
    const tcp::endpoint place(asio::ip::address_v4(local.address), local.port);
    asio::error_code ec;
    acceptor_.open(tcp::v4(), ec);
    if (!ec)
    {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec)
    {
        acceptor_.bind(place, ec);
    }
    if (!ec)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return make_error(error_kind::unavailable, "TCP address " +
                                                       to_string(local) + ": " +
                                                       ec.message());
    }
    accept();
    return absl::OkStatus();
}

auto control_server::accept() -> void
{
    acceptor_.async_accept(
        [this](asio::error_code ec, tcp::socket socket)
        {
            if (ec == asio::error::operation_aborted)
            {
                return;
            }
            if (!ec)
            {
                take(std::move(socket));
                accept();
                return;
            }
            retry_.expires_after(accept_retry_interval);
            retry_.async_wait(
                [this](asio::error_code stopped)
                {
                    if (!stopped)
                    {
                        accept();
                    }
                });
        });
}

auto control_server::take(tcp::socket socket) -> void
{
    if (connections_.size() >= connections_max)
    {
        return;
    }
    ++counters_->accepted;
    const auto peer = name_of(socket);
    control_connection_hooks hooks;
    hooks.on_message = on_message_;
    hooks.on_closed =
        [this, peer](const control_connection& which, const absl::Status& why)
    {
        report_control_end(events_, peer, why);
        forget(which);
    };
    const auto made = std::make_shared<control_connection>(
        std::move(socket), std::move(hooks), *counters_);
    connections_.push_back(made);
    made->start_accepted(clock::now());
}

auto control_server::forget(const control_connection& which) -> void
{
    std::erase_if(connections_,
                  [&](const auto& it)
                  {
                      return it.get() == &which;
                  });
}

auto control_server::tick(millis now, byte_view heartbeat) -> void
{
    // A connection that ends itself leaves the list meanwhile.
    const auto all = connections_;
    for (const auto& it : all)
    {
        it->tick(now, heartbeat);
    }
}

auto control_server::size() const -> std::size_t
{
    return connections_.size();
}

auto control_server::close_all() -> void
{
    asio::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
    for (const auto& it : connections_)
    {
        it->close();
    }
    connections_.clear();
}

} // namespace briardrum
