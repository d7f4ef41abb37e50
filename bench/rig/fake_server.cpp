#include "bench/rig/fake_server.hpp"

#include <cmath>
#include <utility>

namespace briardrum::rig
{

namespace
{

constexpr millis late_by = seconds(20);

auto text_of(byte_view bytes) -> std::string
{
    return {bytes.begin(), bytes.end()};
}

auto stream_name(const flow_key& flow, byte_view token) -> std::string
{
    return to_string(flow) + "#" + text_of(token);
}

} // namespace

fake_server::fake_server(std::string service, std::string name,
                         server_profile profile, event_queue& queue,
                         std::uint64_t seed, send_hook send)
    : service_(std::move(service)), name_(std::move(name)), profile_(profile),
      queue_(queue), random_(seed), send_(std::move(send)),
      started_at_(queue.now())
{
}

auto fake_server::on_datagram(const flow_key& flow, byte_view datagram) -> void
{
    const auto view = read_coap(datagram);
    if (stopped_ || !view.ok())
    {
        return;
    }
    if (view->type == coap_type::reset)
    {
        const auto it = notified_.find(view->message_id);
        if (it != notified_.end())
        {
            streams_.erase(it->second);
        }
        return;
    }
    if (!view->is_request())
    {
        return;
    }
    job next{flow,       to_buffer(view->token), view->message_id,
             view->code, text_of(view->payload), view->observe == 0U};
    if (running_ < profile_.slots)
    {
        start(std::move(next));
    }
    else if (waiting_.size() < profile_.backlog_max)
    {
        waiting_.push_back(std::move(next));
    }
    else
    {
        reply(next, 503);
    }
}

auto fake_server::stop() -> void
{
    stopped_ = true;
    streams_.clear();
    waiting_.clear();
}

auto fake_server::change_profile(const server_profile& profile) -> void
{
    profile_ = profile;
}

auto fake_server::runs() const -> const std::map<std::string, int>&
{
    return runs_;
}

auto fake_server::completed() const -> std::uint64_t
{
    return completed_;
}

auto fake_server::busy_time() const -> millis
{
    return busy_time_;
}

auto fake_server::stream_count() const -> std::size_t
{
    return streams_.size();
}

auto fake_server::start(job next) -> void
{
    constexpr std::uint8_t first_unsafe = 2;
    if (next.method == first_unsafe)
    {
        ++runs_[next.key];
    }
    ++running_;
    const auto time = work_time();
    busy_time_ += time;
    queue_.after(time,
                 [this, done = std::move(next)]
                 {
                     finish(done);
                 });
}

auto fake_server::finish(const job& done) -> void
{
    if (stopped_)
    {
        return;
    }
    --running_;
    ++completed_;
    if (!random_.chance(profile_.silent_chance))
    {
        if (random_.chance(profile_.late_chance))
        {
            queue_.after(late_by,
                         [this, done]
                         {
                             reply(done, 205);
                         });
        }
        else
        {
            reply(done, 205);
        }
    }
    if (!waiting_.empty())
    {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        start(std::move(next));
    }
}

auto fake_server::reply(const job& done, std::uint16_t code) -> void
{
    if (stopped_)
    {
        return;
    }
    coap_reply out;
    out.code = code;
    out.message_id = done.message_id;
    out.token = done.token;
    const auto text = service_ + "|" + name_ + "|" + done.key;
    out.text = text;
    auto datagram = write_coap(out);
    if (done.observe && code == 205)
    {
        const auto name = stream_name(done.flow, done.token);
        streams_[name] = {done.flow, done.token, done.key, 1};
        coap_edit edit;
        edit.observe = 1;
        datagram = *edit_coap(datagram, edit);
        queue_.after(profile_.stream_interval,
                     [this, name]
                     {
                         notify(name);
                     });
    }
    send_(done.flow, datagram);
}

auto fake_server::notify(const std::string& name) -> void
{
    const auto it = streams_.find(name);
    if (stopped_ || it == streams_.end())
    {
        return;
    }
    auto& item = it->second;
    ++item.sequence;
    coap_reply out;
    out.type = coap_type::non_confirmable;
    out.code = 205;
    out.message_id = next_message_id_++;
    out.token = item.token;
    const auto text = service_ + "|" + name_ + "|" + item.key;
    out.text = text;
    coap_edit edit;
    edit.observe = item.sequence;
    notified_[out.message_id] = name;
    send_(item.flow, *edit_coap(write_coap(out), edit));
    queue_.after(profile_.stream_interval,
                 [this, name]
                 {
                     notify(name);
                 });
}

auto fake_server::work_time() -> millis
{
    const auto mean = static_cast<double>(profile_.work_mean.count);
    auto time = -mean * std::log(1 - random_.unit()) * profile_.slow_factor;
    if (queue_.now() - started_at_ < profile_.cold_for)
    {
        time *= profile_.cold_factor;
    }
    return {std::max<std::int64_t>(1, std::llround(time))};
}

} // namespace briardrum::rig
