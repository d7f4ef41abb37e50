#ifndef BRIARDRUM_NODE_STORE_AGENT_REGISTRAR_HPP
#define BRIARDRUM_NODE_STORE_AGENT_REGISTRAR_HPP

#include "membership/membership.hpp"
#include "node/store/member_directory_layout.hpp"
#include "node/store/store.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace briardrum
{

struct agent_registrar_settings
{
    member_directory_layout layout;
    // How long an agent that departed without saying that its server is gone
    // stays registered: the maximum lifetime of a flow.
    millis departed_retention = seconds(60);
    // How long a dead agent stays registered. Callers of a route with a longer
    // deadline may be told earlier, by processes that start after that.
    millis dead_retention = seconds(8);
    // Minimum interval between writes, so that agents that start at about the
    // same time are registered together.
    millis write_interval = milliseconds(200);
    // Interval between reads, which find what another registrar has written.
    millis read_interval = seconds(10);
    // Delay between a failed call and the next.
    millis retry_interval = milliseconds(300);
};

// Keeps the agents that may hold flows registered in the store's directory of
// members, so that processes that start can tell whether they know every agent.
//
// Every balancer has one; only that of the first ready balancer, by id, writes.
// Members may disagree for a moment on which one is the first: writes are
// idempotent, and an entry that was removed in error is written again after the
// next read. An agent is registered as soon as it is known to be live. Its
// entry is removed when it has left without a server, when it has been dead for
// dead_retention, or gone in another way for departed_retention.
//
// Call tick() about every 100 ms.
class agent_registrar
{
public:
    agent_registrar(store& destination, const member_view& members,
                    agent_registrar_settings settings, event_sink events);
    ~agent_registrar();
    agent_registrar(const agent_registrar&) = delete;
    auto operator=(const agent_registrar&) -> agent_registrar& = delete;

    auto tick(millis now) -> void;

    // Call when the store has come back from an older copy of its data.
    auto on_store_restored() -> void;

private:
    auto is_first_balancer() const -> bool;
    auto read() -> void;
    auto on_range(const absl::StatusOr<store_range_result>& result) -> void;
    auto write_changes() -> void;
    auto changes() -> store_transaction;
    auto may_be_removed(const std::string& key) -> bool;
    auto write(const store_transaction& request) -> void;
    auto on_committed(const store_transaction& request,
                      const absl::StatusOr<store_commit_result>& result)
        -> void;
    auto retry_later(std::string_view operation, const absl::Status& error)
        -> void;

    store& store_;
    const member_view& members_;
    agent_registrar_settings settings_;
    event_sink events_;
    millis now_;
    // Nothing until the first tick.
    std::optional<millis> started_at_;
    millis next_call_;
    millis next_read_;
    bool has_read_ = false;
    bool calling_ = false;
    // Incremented by a restore: answers to earlier calls are obsolete.
    std::uint64_t history_ = 0;
    // The members' epoch at the last comparison with the store.
    std::uint64_t compared_epoch_ = 0;
    millis next_comparison_;
    // Keys and values as they are in the store, as far as known.
    std::map<std::string, std::string> stored_;
    store_era era_ = 0;
    // When the agent of each key was first found to be gone.
    std::map<std::string, millis> gone_since_;
    // False once this object is destroyed; checked by pending callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briardrum

#endif
