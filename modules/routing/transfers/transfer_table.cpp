#include "routing/transfers/transfer_table.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace briardrum
{

namespace
{

// Number of low bits of a sequence number that count the messages of one
// incarnation. The bits above hold the incarnation, so that a late
// acknowledgement for an earlier incarnation matches nothing.
constexpr unsigned sequence_bits = 20;

auto set_sequence(control_body& body, std::uint64_t sequence) -> void
{
    if (auto* redirects = std::get_if<redirects_message>(&body))
    {
        redirects->sequence = sequence;
        return;
    }
    auto* hand_over = std::get_if<hand_over_message>(&body);
    // The caller passed a message type that is not acknowledged.
    BRIARDRUM_INVARIANT(hand_over != nullptr);
    hand_over->sequence = sequence;
}

} // namespace

transfer_table::transfer_table(const member_view& members, transfer_hooks hooks)
    : members_(members), hooks_(std::move(hooks)),
      next_sequence_((members.self().incarnation << sequence_bits) + 1)
{
}

auto transfer_table::start(millis now, member_id to, control_body body) -> void
{
    const auto sequence = next_sequence_++;
    set_sequence(body, sequence);
    const auto* record = members_.find(to);
    const auto life = record == nullptr ? 0 : record->incarnation;
    auto& item = rows_.insert(sequence, {to, life, std::move(body), now});
    send(now, item);
}

auto transfer_table::on_ack(millis now, member_id from,
                            const transfer_ack_message& ack) -> void
{
    const auto* item = rows_.find(ack.sequence);
    if (item == nullptr || item->to != from)
    {
        return;
    }
    end(now, ack.sequence,
        ack.accepted ? transfer_outcome::accepted : transfer_outcome::refused);
}

auto transfer_table::tick(millis now) -> void
{
    std::vector<std::uint64_t> lost;
    for (auto& [sequence, item] : rows_.rows())
    {
        if (is_lost(item))
        {
            lost.push_back(sequence);
        }
        else if (now - item.sent_at >= resend_interval)
        {
            send(now, item);
        }
    }
    for (const auto sequence : lost)
    {
        end(now, sequence, transfer_outcome::receiver_lost);
    }
}

auto transfer_table::size() const -> std::size_t
{
    return rows_.size();
}

auto transfer_table::pending_to(member_id to) const -> std::size_t
{
    const auto& rows = rows_.rows();
    return static_cast<std::size_t>(std::count_if(rows.begin(), rows.end(),
                                                  [&](const auto& item)
                                                  {
                                                      return item.row.to == to;
                                                  }));
}

auto transfer_table::send(millis now, row& item) -> void
{
    item.sent_at = now;
    const auto* record = members_.find(item.to);
    if (record == nullptr)
    {
        return;
    }
    const auto& self = members_.self();
    hooks_.send(record->control_address,
                {self.id, self.incarnation, item.body});
}

auto transfer_table::is_lost(const row& item) const -> bool
{
    const auto* record = members_.find(item.to);
    return record == nullptr || record->incarnation != item.to_life ||
           record->state >= member_state::left;
}

auto transfer_table::end(millis now, std::uint64_t sequence,
                         transfer_outcome outcome) -> void
{
    const auto item = std::move(*rows_.find(sequence));
    rows_.erase(sequence);
    hooks_.ended(now, item.to, item.body, outcome);
}

} // namespace briardrum
