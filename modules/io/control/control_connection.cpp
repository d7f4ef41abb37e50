#include "io/control/control_connection.hpp"

#include <utility>

namespace briardrum
{

namespace
{

using asio::ip::tcp;

auto set_no_delay(tcp::socket& socket) -> void
{
    asio::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
}

auto status_of(const asio::error_code& ec) -> absl::Status
{
    if (ec == asio::error::eof)
    {
        return absl::OkStatus();
    }
    return make_error(error_kind::unavailable, ec.message());
}

} // namespace

control_connection::control_connection(tcp::socket socket,
                                       control_connection_hooks hooks,
                                       control_counters& counters)
    : socket_(std::move(socket)), hooks_(std::move(hooks)), counters_(&counters)
{
}

auto control_connection::start_accepted(millis now) -> void
{
    heard_at_ = now;
    heartbeat_at_ = now;
    connected_ = true;
    set_no_delay(socket_);
    read();
}

auto control_connection::open(millis now, const endpoint& peer) -> void
{
    heard_at_ = now;
    heartbeat_at_ = now;
    const tcp::endpoint place(asio::ip::address_v4(peer.address), peer.port);
    socket_.async_connect(place,
                          [self = shared_from_this()](asio::error_code ec)
                          {
                              if (ec)
                              {
                                  self->end(status_of(ec));
                                  return;
                              }
                              set_no_delay(self->socket_);
                              self->connected_ = true;
                              self->read();
                              self->write();
                          });
}

auto control_connection::send(byte_view content) -> void
{
    byte_buffer frame;
    if (closed_ || !append_frame(content, frame).ok())
    {
        ++counters_->dropped;
        return;
    }
    queue_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    while (queue_bytes_ > control_queue_bytes_max && queue_.size() > 1)
    {
        queue_bytes_ -= queue_.front().size();
        queue_.pop_front();
        ++counters_->dropped;
    }
    write();
}

auto control_connection::tick(millis now, byte_view heartbeat) -> void
{
    if (closed_)
    {
        return;
    }
    if (heard_since_tick_)
    {
        heard_at_ = now;
        heard_since_tick_ = false;
    }
    if (now - heard_at_ >= silence_max)
    {
        silent_ = true;
        ++counters_->silent;
        end(make_error(error_kind::unavailable, "silent"));
        return;
    }
    if (connected_ && now >= heartbeat_at_)
    {
        heartbeat_at_ = now + heartbeat_interval;
        send(heartbeat);
    }
}

auto control_connection::close() -> void
{
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
}

auto control_connection::take_unsent_of(control_connection& old) -> void
{
    queue_ = std::exchange(old.queue_, {});
    queue_bytes_ = std::exchange(old.queue_bytes_, 0);
}

auto control_connection::was_silent() const -> bool
{
    return silent_;
}

auto control_connection::read() -> void
{
    socket_.async_read_some(
        asio::buffer(incoming_),
        [self = shared_from_this()](asio::error_code ec, std::size_t count)
        {
            if (self->closed_)
            {
                return;
            }
            if (ec)
            {
                self->end(status_of(ec));
                return;
            }
            self->on_bytes(count);
            if (!self->closed_)
            {
                self->read();
            }
        });
}

auto control_connection::on_bytes(std::size_t count) -> void
{
    heard_since_tick_ = true;
    counters_->bytes_received += count;
    frames_.feed(byte_view(incoming_).first(count));
    while (!closed_)
    {
        const auto frame = frames_.next();
        if (frame.ok() && !frame->has_value())
        {
            return;
        }
        const auto message =
            frame.ok() ? decode_control(**frame)
                       : absl::StatusOr<control_message>(frame.status());
        if (!message.ok())
        {
            ++counters_->bad_frames;
            end(message.status());
            return;
        }
        ++counters_->messages_received;
        hooks_.on_message(*message);
    }
}

auto control_connection::write() -> void
{
    if (!connected_ || closed_ || !writing_.empty() || queue_.empty())
    {
        return;
    }
    writing_ = std::move(queue_.front());
    queue_.pop_front();
    queue_bytes_ -= writing_.size();
    asio::async_write(
        socket_, asio::buffer(writing_),
        [self = shared_from_this()](asio::error_code ec, std::size_t count)
        {
            self->writing_.clear();
            if (self->closed_)
            {
                return;
            }
            if (ec)
            {
                self->end(status_of(ec));
                return;
            }
            ++self->counters_->messages_sent;
            self->counters_->bytes_sent += count;
            self->write();
        });
}

auto control_connection::end(const absl::Status& why) -> void
{
    if (closed_)
    {
        return;
    }
    close();
    hooks_.on_closed(*this, why);
}

auto report_control_end(const event_sink& events, const std::string& peer,
                        const absl::Status& why) -> void
{
    if (why.ok() || !events)
    {
        return;
    }
    events(event("control_closed", event_level::warning)
               .with("peer", peer)
               .with("kind", error_mapping_for(error_kind_of(why)).name)
               .with("reason", std::string(why.message())));
}

} // namespace briardrum
