#include "stand_ins/packet_site/site_operator.hpp"

#include <utility>

namespace briardrum::stand_in
{

namespace
{

constexpr std::chrono::milliseconds copy_interval(500);
// The oldest copy is about three seconds old.
constexpr std::size_t copies_max = 6;
// More than are written from the restore to the next change, so that the next
// change has a revision that was given out before.
constexpr int changes_lost = 12;
constexpr std::chrono::milliseconds adoption_time(300);
constexpr std::chrono::milliseconds away_duration(500);
constexpr std::chrono::milliseconds next_change_delay(1000);

} // namespace

site_operator::site_operator(
    asio::io_context& context, platform_store& store,
    std::function<std::string(std::uint64_t)> make_text)
    : store_(store), make_text_(std::move(make_text)), copy_timer_(context),
      restore_timer_(context)
{
    change();
    keep_copies();
}

auto site_operator::change() -> void
{
    ++version_;
    write();
}

auto site_operator::evacuate(const std::string& data_centre) -> void
{
    store_.put("op/evacuate/" + data_centre, "{}");
}

auto site_operator::withdraw(const std::string& data_centre) -> void
{
    store_.remove("op/evacuate/" + data_centre);
}

auto site_operator::set_outage(bool is_out) -> void
{
    outage_ = is_out;
    store_.set_down(outage_ || restoring_);
}

auto site_operator::restore() -> void
{
    if (std::exchange(restoring_, true))
    {
        return;
    }
    ++restores_;
    for (int n = 0; n < changes_lost; ++n)
    {
        change();
    }
    run_after(adoption_time,
              [this]
              {
                  take_away();
              });
}

auto site_operator::take_away() -> void
{
    store_.set_down(true);
    run_after(away_duration,
              [this]
              {
                  finish_restore();
              });
}

auto site_operator::finish_restore() -> void
{
    store_.restore(copies_.front());
    copies_.clear();
    copies_.push_back(store_.copy());
    write();
    restoring_ = false;
    store_.set_down(outage_);
    run_after(next_change_delay,
              [this]
              {
                  change();
              });
}

auto site_operator::run_after(std::chrono::milliseconds delay,
                              std::function<void()> task) -> void
{
    restore_timer_.expires_after(delay);
    restore_timer_.async_wait(
        [task = std::move(task)](const asio::error_code& ec)
        {
            if (!ec)
            {
                task();
            }
        });
}

auto site_operator::version() const -> std::uint64_t
{
    return version_;
}

auto site_operator::restores() const -> std::uint64_t
{
    return restores_;
}

auto site_operator::write() -> void
{
    store_.put("op/config", make_text_(version_));
}

auto site_operator::keep_copies() -> void
{
    copies_.push_back(store_.copy());
    if (copies_.size() > copies_max)
    {
        copies_.pop_front();
    }
    copy_timer_.expires_after(copy_interval);
    copy_timer_.async_wait(
        [this](const asio::error_code& ec)
        {
            if (!ec)
            {
                keep_copies();
            }
        });
}

} // namespace briardrum::stand_in
