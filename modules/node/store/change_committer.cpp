#include "node/store/change_committer.hpp"

#include <utility>

namespace briardrum
{

change_committer::change_committer(store& target, store_layout layout,
                                   change_committer_settings settings)
    : store_(target), layout_(std::move(layout)), settings_(settings)
{
}

change_committer::~change_committer()
{
    *alive_ = false;
}

auto change_committer::begin(millis now, const edited_configuration& edited,
                             const std::optional<std::string>& root,
                             const history_entry& entry) -> void
{
    // The caller called begin() twice on the same committer.
    BRIARDRUM_INVARIANT(change_id_.empty());
    now_ = now;
    started_at_ = now;
    change_id_ = edited.after.change_id;
    store_compare is_unchanged;
    is_unchanged.key = layout_.key_of(root_key);
    if (root.has_value())
    {
        is_unchanged.target = store_compare::field::value;
        is_unchanged.expected_value = *root;
    }
    transaction_.compares.push_back(std::move(is_unchanged));
    for (const auto& change : edited.changes)
    {
        transaction_.writes.push_back(
            {layout_.key_of(change.key), change.value, change.removed, 0});
    }
    transaction_.writes.push_back({layout_.history_key(edited.after.version),
                                   write_history_entry(entry), false, 0});
    commit();
}

auto change_committer::tick(millis now) -> void
{
    now_ = now;
    if (report_.has_value())
    {
        return;
    }
    if (now >= started_at_ + settings_.deadline)
    {
        finish(may_be_written_ ? commit_outcome::unknown
                               : commit_outcome::unavailable);
        return;
    }
    if (retry_pending_ && now >= retry_at_)
    {
        retry_pending_ = false;
        if (may_be_written_)
        {
            look_up_outcome();
        }
        else
        {
            commit();
        }
    }
}

auto change_committer::report() const -> const std::optional<commit_report>&
{
    return report_;
}

auto change_committer::commit() -> void
{
    // Set before the call, so that a missing answer does not make the change
    // appear unwritten.
    const auto was_written = may_be_written_;
    may_be_written_ = true;
    store_.commit(transaction_,
                  [this, was_written, alive = alive_](
                      const absl::StatusOr<store_commit_result>& result)
                  {
                      if (*alive)
                      {
                          const auto is_unavailable =
                              error_kind_of(result.status()) ==
                              error_kind::unavailable;
                          may_be_written_ = was_written || !is_unavailable;
                          on_commit_result(result);
                      }
                  });
}

auto change_committer::look_up_outcome() -> void
{
    look_up_change(
        store_, layout_, change_id_,
        [this, alive = alive_](const absl::StatusOr<change_status>& result)
        {
            if (*alive)
            {
                on_lookup_result(result);
            }
        });
}

auto change_committer::on_commit_result(
    const absl::StatusOr<store_commit_result>& result) -> void
{
    if (report_.has_value())
    {
        return;
    }
    if (result.ok() && result->succeeded)
    {
        finish(commit_outcome::accepted);
        return;
    }
    if (!result.ok())
    {
        reason_ = std::string(result.status().message());
        retry_pending_ = true;
        retry_at_ = now_ + settings_.retry_interval;
        return;
    }
    // The compare failed: the root was changed by another operator, or by an
    // earlier attempt of this change.
    look_up_outcome();
}

auto change_committer::on_lookup_result(
    const absl::StatusOr<change_status>& result) -> void
{
    if (report_.has_value())
    {
        return;
    }
    if (!result.ok())
    {
        reason_ = std::string(result.status().message());
        retry_pending_ = true;
        retry_at_ = now_ + settings_.retry_interval;
        return;
    }
    switch (result->state)
    {
    case change_state::accepted:
        finish(commit_outcome::accepted);
        return;
    case change_state::refused:
        finish(commit_outcome::refused, result->entry);
        return;
    case change_state::forgotten:
        finish(commit_outcome::unknown);
        return;
    case change_state::pending:
        // Safe to repeat: the compare lets the transaction succeed only once.
        commit();
        return;
    }
}

auto change_committer::finish(commit_outcome outcome) -> void
{
    finish(outcome, std::nullopt);
}

auto change_committer::finish(commit_outcome outcome,
                              std::optional<history_entry> winner) -> void
{
    report_ = commit_report{outcome, std::move(winner), reason_};
}

} // namespace briardrum
