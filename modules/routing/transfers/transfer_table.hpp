#ifndef BRIARDRUM_ROUTING_TRANSFERS_TRANSFER_TABLE_HPP
#define BRIARDRUM_ROUTING_TRANSFERS_TRANSFER_TABLE_HPP

#include "core/core.hpp"
#include "membership/membership.hpp"
#include "wire/wire.hpp"

#include <functional>

namespace briardrum
{

// Outcome of a transfer.
enum class transfer_outcome : std::uint8_t
{
    accepted,
    refused,
    // The receiver died or left without an acknowledgement. It may have
    // processed the message.
    receiver_lost,
};

struct transfer_hooks
{
    std::function<void(const endpoint&, const control_message&)> send;
    // Called once for each transfer, after it was removed from the table.
    std::function<void(millis now, member_id to, const control_body& body,
                       transfer_outcome)>
        ended;
};

// Delivers messages reliably: each one gets a sequence number and is resent
// until the receiver acknowledges it or is gone. The body must be a
// redirects_message or a hand_over_message; start() sets its sequence.
class transfer_table
{
public:
    static constexpr millis resend_interval = milliseconds(250);

    transfer_table(const member_view& members, transfer_hooks hooks);

    auto start(millis now, member_id to, control_body body) -> void;

    auto on_ack(millis now, member_id from, const transfer_ack_message& ack)
        -> void;

    // Resends messages that are due and ends transfers whose receiver is gone.
    auto tick(millis now) -> void;

    auto size() const -> std::size_t;

    // Number of unacknowledged transfers to a member.
    auto pending_to(member_id to) const -> std::size_t;

private:
    struct row
    {
        member_id to = 0;
        incarnation_number to_life = 0;
        control_body body;
        millis sent_at;
    };

    auto send(millis now, row& item) -> void;
    auto is_lost(const row& item) const -> bool;
    auto end(millis now, std::uint64_t sequence, transfer_outcome outcome)
        -> void;

    const member_view& members_;
    transfer_hooks hooks_;
    table<std::uint64_t, row> rows_;
    std::uint64_t next_sequence_;
};

} // namespace briardrum

#endif
