#include "node/store/agent_registrar.hpp"

#include <utility>

namespace briardrum
{

namespace
{

// The store accepts at most 32 entries in a transaction.
constexpr std::size_t writes_per_transaction_max = 32;

// Interval between comparisons while no record changes: retentions end.
constexpr millis comparison_interval = seconds(1);

// After a restore, only a registrar that has run for this long knows every
// agent that is in contact with the others, and may declare the entries to be
// complete again.
constexpr millis view_complete_after = seconds(5);

} // namespace

agent_registrar::agent_registrar(store& destination, const member_view& members,
                                 agent_registrar_settings settings,
                                 event_sink events)
    : store_(destination), members_(members), settings_(std::move(settings)),
      events_(std::move(events))
{
}

agent_registrar::~agent_registrar()
{
    *alive_ = false;
}

// Balancers that are leaving or suspected are passed over.
auto agent_registrar::is_first_balancer() const -> bool
{
    for (const auto id : members_.balancers())
    {
        const auto* record = members_.find(id);
        if (record != nullptr && record->state == member_state::ready)
        {
            return id == members_.self().id;
        }
    }
    return false;
}

auto agent_registrar::tick(millis now) -> void
{
    now_ = now;
    if (!started_at_.has_value())
    {
        started_at_ = now;
    }
    if (calling_ || now < next_call_)
    {
        return;
    }
    if (!is_first_balancer())
    {
        has_read_ = false;
        return;
    }
    if (!has_read_ || now >= next_read_)
    {
        read();
        return;
    }
    if (members_.epoch() != compared_epoch_ || now >= next_comparison_)
    {
        write_changes();
    }
}

auto agent_registrar::on_store_restored() -> void
{
    ++history_;
    has_read_ = false;
}

auto agent_registrar::read() -> void
{
    calling_ = true;
    store_.range(settings_.layout.all(),
                 [this, alive = alive_, history = history_](
                     const absl::StatusOr<store_range_result>& result)
                 {
                     if (!*alive)
                     {
                         return;
                     }
                     calling_ = false;
                     if (history == history_)
                     {
                         on_range(result);
                     }
                 });
}

auto agent_registrar::on_range(const absl::StatusOr<store_range_result>& result)
    -> void
{
    if (!result.ok())
    {
        retry_later("read", result.status());
        return;
    }
    has_read_ = true;
    next_read_ = now_ + settings_.read_interval;
    era_ = result->era;
    stored_.clear();
    for (const auto& it : result->values)
    {
        const auto is_agent = !settings_.layout.agent_of(it.key).empty();
        if (is_agent || it.key == settings_.layout.era_key())
        {
            stored_[it.key] = it.value;
        }
    }
    write_changes();
}

auto agent_registrar::write_changes() -> void
{
    compared_epoch_ = members_.epoch();
    next_comparison_ = now_ + comparison_interval;
    const auto request = changes();
    if (!request.writes.empty())
    {
        write(request);
    }
}

auto agent_registrar::changes() -> store_transaction
{
    store_transaction out;
    std::map<std::string, std::string> registered;
    for (const auto& record : members_.records())
    {
        if (record.kind == member_kind::agent && is_live(record.state))
        {
            registered[settings_.layout.agent_key(record.name)] =
                to_string(record.control_address);
        }
    }
    for (const auto& [key, value] : registered)
    {
        gone_since_.erase(key);
        const auto it = stored_.find(key);
        if (it == stored_.end() || it->second != value)
        {
            out.writes.push_back({key, value, false, 0});
        }
    }
    for (const auto& [key, value] : stored_)
    {
        if (!registered.contains(key) && may_be_removed(key))
        {
            out.writes.push_back({key, "", true, 0});
        }
    }
    const auto marker = std::to_string(era_);
    const auto key = settings_.layout.era_key();
    const auto marked = stored_.find(key);
    const auto is_first = marked == stored_.end();
    const auto knows_all = now_ - *started_at_ >= view_complete_after;
    if (is_first || (marked->second != marker && knows_all))
    {
        out.writes.push_back({key, marker, false, 0});
    }
    // The marker comes last, with the last of the entries.
    if (out.writes.size() > writes_per_transaction_max)
    {
        out.writes.resize(writes_per_transaction_max);
    }
    return out;
}

// An agent that left and said that its server is gone holds no flows. One that
// has been out of reach for longer than callers wait is no better than gone, as
// in lost_flow_detector. Any other that is gone, or that is registered and not
// known, may have a server that lives on.
auto agent_registrar::may_be_removed(const std::string& key) -> bool
{
    if (key == settings_.layout.era_key())
    {
        return false;
    }
    const auto name = settings_.layout.agent_of(key);
    const auto* record = members_.find(member_id_of(name));
    const auto left_without_server = record != nullptr &&
                                     record->state == member_state::left &&
                                     record->slots == 0;
    const auto is_dead =
        record != nullptr && record->state == member_state::dead;
    const auto retention =
        is_dead ? settings_.dead_retention : settings_.departed_retention;
    const auto [it, added] = gone_since_.try_emplace(key, now_);
    return left_without_server || now_ - it->second >= retention;
}

auto agent_registrar::write(const store_transaction& request) -> void
{
    calling_ = true;
    next_call_ = now_ + settings_.write_interval;
    store_.commit(request,
                  [this, alive = alive_, history = history_,
                   request](const absl::StatusOr<store_commit_result>& result)
                  {
                      if (!*alive)
                      {
                          return;
                      }
                      calling_ = false;
                      if (history == history_)
                      {
                          on_committed(request, result);
                      }
                  });
}

auto agent_registrar::on_committed(
    const store_transaction& request,
    const absl::StatusOr<store_commit_result>& result) -> void
{
    if (!result.ok())
    {
        // The next comparison begins with a read: the outcome is not known.
        has_read_ = false;
        retry_later("write", result.status());
        return;
    }
    if (result->era != era_)
    {
        has_read_ = false;
        return;
    }
    std::uint64_t removed = 0;
    for (const auto& it : request.writes)
    {
        if (it.removed)
        {
            ++removed;
            stored_.erase(it.key);
            gone_since_.erase(it.key);
        }
        else
        {
            stored_[it.key] = it.value;
        }
    }
    // What did not fit into this transaction comes with the next.
    next_comparison_ = now_;
    if (events_)
    {
        events_(
            event("agents_registered")
                .with("written", std::uint64_t{request.writes.size()} - removed)
                .with("removed", removed)
                .with("entries", std::uint64_t{stored_.size()})
                .with("revision", static_cast<std::uint64_t>(result->revision))
                .with("era", result->era));
    }
}

auto agent_registrar::retry_later(std::string_view operation,
                                  const absl::Status& error) -> void
{
    next_call_ = now_ + settings_.retry_interval;
    if (events_)
    {
        events_(event("agent_registration_failed", event_level::warning)
                    .with("call", operation)
                    .with("why", std::string(error.message())));
    }
}

} // namespace briardrum
