#include "io/control/control_pool.hpp"

#include <utility>

namespace briardrum
{

control_pool::control_pool(
    asio::io_context& context,
    std::function<void(const control_message&)> on_message,
    control_counters& counters, event_sink events)
    : context_(&context), on_message_(std::move(on_message)),
      counters_(&counters), events_(std::move(events))
{
}

control_pool::~control_pool()
{
    close_all();
}

auto control_pool::send(millis now, const endpoint& to,
                        const control_message& message) -> void
{
    auto& row = peers_.insert(to);
    if (row.connection == nullptr && now < row.retry_at)
    {
        ++counters_->dropped;
        return;
    }
    row.used_at = now;
    if (row.connection == nullptr)
    {
        connect(now, to, row);
    }
    row.connection->send(encode_control(message));
}

auto control_pool::connect(millis now, const endpoint& to, peer& row) -> void
{
    control_connection_hooks hooks;
    hooks.on_message = on_message_;
    hooks.on_closed =
        [this, to](const control_connection& which, const absl::Status& why)
    {
        on_closed(to, which, why);
    };
    row.connection = std::make_shared<control_connection>(
        asio::ip::tcp::socket(*context_), std::move(hooks), *counters_);
    ++counters_->opened;
    row.connection->open(now, to);
}

auto control_pool::on_closed(const endpoint& to,
                             const control_connection& which,
                             const absl::Status& why) -> void
{
    auto* row = peers_.find(to);
    if (row == nullptr || row->connection.get() != &which)
    {
        return;
    }
    report_control_end(events_, to_string(to), why);
    const auto old = std::exchange(row->connection, nullptr);
    const auto now = clock::now();
    if (old->was_silent())
    {
        connect(now, to, *row);
        row->connection->take_unsent_of(*old);
    }
    else if (!why.ok())
    {
        row->retry_at = now + retry_interval;
    }
}

auto control_pool::tick(millis now, byte_view heartbeat) -> void
{
    // A connection that ends itself changes the table meanwhile.
    std::vector<endpoint> all;
    for (const auto& it : peers_.rows())
    {
        all.push_back(it.key);
    }
    for (const auto& it : all)
    {
        tick_peer(now, it, heartbeat);
    }
}

auto control_pool::tick_peer(millis now, const endpoint& to,
                             byte_view heartbeat) -> void
{
    auto* row = peers_.find(to);
    if (row->connection != nullptr && now - row->used_at >= idle_timeout)
    {
        row->connection->close();
        row->connection.reset();
    }
    if (row->connection != nullptr)
    {
        const auto connection = row->connection;
        connection->tick(now, heartbeat);
    }
    else if (now >= row->retry_at)
    {
        peers_.erase(to);
    }
}

auto control_pool::size() const -> std::size_t
{
    return peers_.size();
}

auto control_pool::close_all() -> void
{
    for (const auto& it : peers_.rows())
    {
        if (it.row.connection != nullptr)
        {
            it.row.connection->close();
        }
    }
}

} // namespace briardrum
