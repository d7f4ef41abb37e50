#ifndef BRIARDRUM_ROUTING_FLOWS_REDIRECT_TABLE_HPP
#define BRIARDRUM_ROUTING_FLOWS_REDIRECT_TABLE_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

namespace briardrum
{

// Flows that live at another agent than the one a datagram reached. A home
// keeps one for each flow it placed elsewhere, a former owner for each flow it
// handed over.
class redirect_table
{
public:
    struct row
    {
        member_id owner = 0;
        incarnation owner_life = 0;
        flow_generation generation = 0;
        millis last_used;
    };

    // Remembers where a flow lives; an older generation does not replace a
    // newer one of the same owner.
    auto set(millis now, const redirect_record& record) -> void;

    // The row, touched, or nullptr.
    auto touch(millis now, const flow_key& key) -> const row*;

    auto find(const flow_key& key) const -> const row*;

    auto erase(const flow_key& key) -> void;

    // Drops rows that nobody used for this long.
    auto expire(millis now, millis idle) -> void;

    auto rows() const -> const table<flow_key, row>&;

private:
    table<flow_key, row> rows_;
};

} // namespace briardrum

#endif
