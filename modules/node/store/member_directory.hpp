#ifndef BRIARDRUM_NODE_STORE_MEMBER_DIRECTORY_HPP
#define BRIARDRUM_NODE_STORE_MEMBER_DIRECTORY_HPP

#include "membership/records/listed_agent.hpp"
#include "node/store/member_directory_layout.hpp"

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace briardrum
{

struct member_directory_settings
{
    member_directory_layout layout;
    std::string own_name;
    endpoint own_address;
    // True in the few members that publish their address; the others only
    // read.
    bool publishes = false;
    // Between reads while no other member is known. Short, because all packets
    // are delayed until one is found.
    millis retry_interval = milliseconds(300);
};

struct member_directory_hooks
{
    // Called with the control addresses of members; some may be outdated.
    std::function<void(std::span<const endpoint>)> on_addresses;
    event_sink events;
    // Called with all registered agents, once it is certain that none is
    // missing, as of the start of this process. May be empty.
    std::function<void(std::span<const listed_agent>)> on_agents = nullptr;
};

// Bootstraps membership from the store, in addition to the start addresses in
// the settings. The store keeps the last known addresses of the members. They
// are read once at startup, and again while no other member is known or while
// entries may be missing; gossip maintains the membership itself.
//
// Each balancer publishes its own address; those of the agents are written by
// an agent_registrar.
//
// Call tick() about every 100 ms, and leave() when the process stops for good.
class member_directory
{
public:
    member_directory(store& source, member_directory_settings settings,
                     member_directory_hooks hooks);
    ~member_directory();
    member_directory(const member_directory&) = delete;
    auto operator=(const member_directory&) -> member_directory& = delete;

    // is_isolated is true while no other member is known.
    auto tick(millis now, bool is_isolated) -> void;

    // Publishes the own address again after the store has come back from an
    // older copy of its data.
    auto on_store_restored() -> void;

    auto leave() -> void;

private:
    auto read() -> void;
    auto on_range(const absl::StatusOr<store_range_result>& result,
                  bool is_current) -> void;
    auto read_agents(const store_range_result& result) -> void;
    auto publish() -> void;
    auto own_key() const -> std::string;
    auto report_read(const store_range_result& result, std::size_t others) const
        -> void;
    auto report_published(const store_commit_result& result) const -> void;
    auto report_failure(std::string_view operation, const absl::Status& error)
        -> void;

    store& store_;
    member_directory_settings settings_;
    member_directory_hooks hooks_;
    millis next_read_;
    bool reading_ = false;
    bool writing_ = false;
    // True once the registered agents have been read completely.
    bool has_read_agents_ = false;
    bool published_ = false;
    // Set by a restore: only a write that began after it shows that the own
    // address is in the store, for reads may be seconds old.
    bool must_publish_ = false;
    // False once this object is destroyed; checked by pending callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briardrum

#endif
