#ifndef BRIARDRUM_MEMBERSHIP_GOSSIP_GOSSIPER_HPP
#define BRIARDRUM_MEMBERSHIP_GOSSIP_GOSSIPER_HPP

#include "membership/gossip/change_queue.hpp"
#include "membership/membership_settings.hpp"
#include "membership/records/member_rotation.hpp"
#include "membership/records/member_table.hpp"
#include "wire/messages/control_message.hpp"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace briardrum
{

// Spreads records. Changes go to a few random members of the own data centre
// a bounded number of times each; relays carry them to relays of other data
// centres; nothing is sent while nothing changes but a slow round of
// anti-entropy, which repairs what gossip missed.
class gossiper
{
public:
    using send_hook = std::function<void(const endpoint&, gossip_message)>;

    gossiper(const member_table& members, member_id self,
             std::vector<endpoint> start_addresses,
             const membership_settings& settings, send_hook send,
             std::uint64_t seed);

    // More addresses to start from; known ones are passed over.
    auto add_start_addresses(std::span<const endpoint> more) -> void;

    // A record changed here and is to be spread.
    auto queue(member_id id) -> void;

    // Another member sent a record that is known here.
    auto on_received(member_id id) -> void;

    // Gossips at the next tick whatever the interval says.
    auto gossip_at_next_tick() -> void;

    auto tick(millis now) -> void;

    // Sends one member's records, for an answer to what it got wrong.
    auto send_records(const endpoint& to, std::span<const member_id> ids)
        -> void;

    // Sends everything, to a newcomer.
    auto send_all_records(const endpoint& to) -> void;

    // Asks a start address or a random member for everything; gives whom.
    auto request_all_records() -> endpoint;

    // True when this member is a relay of its data centre, as seen here.
    auto is_relay() const -> bool;

private:
    auto round() -> void;
    auto relay_round() -> void;
    auto anti_entropy_round() -> void;
    auto reconnection_round() -> void;
    auto send_changes(const endpoint& to, gossip_scope scope) -> void;
    auto collect(std::span<const member_id> ids) const -> gossip_message;
    auto anti_entropy_records() -> std::vector<member_id>;
    auto next_local_member() -> const member_record*;
    auto pick_random(std::span<const member_id> from) -> const member_record*;
    auto pick_remote_data_centre() -> std::string;
    auto pick_unreachable_address() -> endpoint;
    auto sends_per_change() const -> send_counts;
    auto own() const -> const member_record&;

    const member_table& members_;
    member_id self_;
    std::vector<endpoint> start_addresses_;
    membership_settings settings_;
    send_hook send_;
    random_source random_;
    change_queue changes_;
    member_rotation rotation_;
    std::size_t anti_entropy_index_ = 0;
    std::size_t next_start_address_ = 0;
    millis next_round_;
    millis next_anti_entropy_;
};

} // namespace briardrum

#endif
