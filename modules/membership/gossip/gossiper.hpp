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

// Disseminates member records. Each change is sent a bounded number of times to
// random members of the own data centre; relays forward changes to relays of
// other data centres. While nothing changes, only periodic anti-entropy
// messages are sent, which repair what gossip missed.
class gossiper
{
public:
    using send_hook = std::function<void(const endpoint&, gossip_message)>;

    gossiper(const member_table& members, member_id self,
             std::vector<endpoint> start_addresses,
             const membership_settings& settings, send_hook send,
             std::uint64_t seed);

    // Adds start addresses and sends the own record to each; known ones are
    // ignored.
    auto add_start_addresses(std::span<const endpoint> more) -> void;

    // Sends the own record to an address.
    auto introduce(const endpoint& address) -> void;

    // Notes an address at which an unknown member runs.
    auto contact(const endpoint& address) -> void;

    // Requests all records from the next address at which no live member is
    // known. Returns false if there is none left to be asked.
    auto contact_next_address() -> bool;

    // Call for each new or changed record.
    auto on_known(const member_record& record) -> void;

    // Queues the changed record of a member for gossip.
    auto queue(member_id id) -> void;

    // Counts a change that another member sent and that is already known here.
    auto on_received(member_id id) -> void;

    // Starts a gossip round at the next tick, regardless of the interval.
    auto gossip_at_next_tick() -> void;

    auto tick(millis now) -> void;

    // Sends the current records of the given members, for example to correct
    // outdated records that the receiver sent.
    auto send_records(const endpoint& to, std::span<const member_id> ids)
        -> void;

    // Sends all records, to a member that is joining.
    auto send_all_records(const endpoint& to) -> void;

    // Requests all records from a start address or a random member; returns the
    // address asked, or none.
    auto request_all_records() -> endpoint;

    // Returns true if this member is a relay of its data centre, according to
    // the local member table.
    auto is_relay() const -> bool;

private:
    // An address at which no live member is known.
    struct contact_address
    {
        endpoint address;
        std::uint32_t requests = 0;
    };

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
    auto is_address_of_live_member(const endpoint& address) const -> bool;
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
    std::vector<contact_address> contacts_;
    std::size_t next_contact_ = 0;
    millis next_round_;
    millis next_anti_entropy_;
};

} // namespace briardrum

#endif
