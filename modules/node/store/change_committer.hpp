#ifndef BRIARDRUM_NODE_STORE_CHANGE_COMMITTER_HPP
#define BRIARDRUM_NODE_STORE_CHANGE_COMMITTER_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "node/store/change_lookup.hpp"
#include "node/store/store_layout.hpp"

#include <memory>
#include <optional>
#include <string>

namespace briardrum
{

struct change_committer_settings
{
    // Time after begin() at which an outcome is reported even if it is unknown.
    millis deadline = seconds(15);
    millis retry_interval = milliseconds(300);
};

enum class commit_outcome : std::uint8_t
{
    accepted,
    // A concurrent change was committed first; this one never takes effect.
    refused,
    // The store could not be reached; this change never takes effect.
    unavailable,
    // A write may still take effect. Query the outcome later by the change id.
    unknown,
};

struct commit_report
{
    commit_outcome outcome = commit_outcome::unknown;
    // The change that was committed first, when refused.
    std::optional<history_entry> winner;
    // The last error of the store, when unknown or unavailable.
    std::string reason;
};

// Commits one change to the store at most once.
//
// Call begin(), then tick() until report() has a value. The change is a single
// transaction that compares the root value, so it can be retried safely. When
// an answer is lost, the history entry of the version shows whose change took
// effect.
class change_committer
{
public:
    change_committer(store& target, store_layout layout,
                     change_committer_settings settings);
    ~change_committer();
    change_committer(const change_committer&) = delete;
    auto operator=(const change_committer&) -> change_committer& = delete;

    // root is the root value when the configuration was read for editing, or
    // nothing when there was none. Call once.
    auto begin(millis now, const edited_configuration& edited,
               const std::optional<std::string>& root,
               const history_entry& entry) -> void;

    auto tick(millis now) -> void;

    auto report() const -> const std::optional<commit_report>&;

private:
    auto commit() -> void;
    auto look_up_outcome() -> void;
    auto on_commit_result(const absl::StatusOr<store_commit_result>& result)
        -> void;
    auto on_lookup_result(const absl::StatusOr<change_status>& result) -> void;
    auto finish(commit_outcome outcome) -> void;
    auto finish(commit_outcome outcome, std::optional<history_entry> winner)
        -> void;

    store& store_;
    store_layout layout_;
    change_committer_settings settings_;
    store_transaction transaction_;
    std::string change_id_;
    millis now_;
    millis started_at_;
    millis retry_at_;
    bool retry_pending_ = false;
    bool may_be_written_ = false;
    std::string reason_;
    std::optional<commit_report> report_;
    // False once this object is destroyed; checked by pending callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briardrum

#endif
