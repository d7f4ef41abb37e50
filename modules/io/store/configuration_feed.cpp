#include "io/store/configuration_feed.hpp"

#include <utility>

namespace briardrum
{

namespace
{

auto make_spread_hooks(member_view& members,
                       const configuration_feed_hooks& hooks)
    -> distributor_hooks
{
    auto out = make_distributor_hooks(members);
    out.send = hooks.send;
    out.adopted = hooks.adopted;
    out.events = hooks.events;
    return out;
}

} // namespace

configuration_feed::configuration_feed(
    const std::optional<store_settings>& store, member_view& members,
    const configuration_feed_hooks& hooks, std::uint64_t seed)
    : spreader_({}, make_spread_hooks(members, hooks), seed)
{
    if (!store.has_value())
    {
        return;
    }
    store_client_settings settings;
    settings.addresses = {store->address};
    client_ = std::make_unique<store_client>(settings, hooks.post);
    store_watcher_hooks watcher_hooks;
    watcher_hooks.current_configuration = [this]
    {
        return spreader_.newest();
    };
    watcher_hooks.on_configuration =
        [this](millis now, std::shared_ptr<const configuration> next)
    {
        spreader_.on_stored_configuration(now, std::move(next));
    };
    watcher_hooks.events = hooks.events;
    watcher_ = std::make_unique<store_watcher>(
        *client_, store_layout{store->root}, store_watcher_settings{},
        std::move(watcher_hooks), seed + 1);
}

auto configuration_feed::on_file(millis now,
                                 std::shared_ptr<const configuration> next)
    -> void
{
    spreader_.on_stored_configuration(now, std::move(next));
}

auto configuration_feed::on_control(millis now, const control_message& message)
    -> bool
{
    return spreader_.on_control(now, message);
}

auto configuration_feed::tick(millis now) -> void
{
    spreader_.tick(now);
    if (watcher_ != nullptr)
    {
        watcher_->tick(now, spreader_.is_watcher());
    }
}

auto configuration_feed::spreader() const -> const configuration_distributor&
{
    return spreader_;
}

auto configuration_feed::store_answers() const -> bool
{
    return watcher_ == nullptr || watcher_->store_answers();
}

auto configuration_feed::store_calls_made() const -> store_call_counts
{
    return client_ == nullptr ? store_call_counts{} : client_->counts();
}

} // namespace briardrum
