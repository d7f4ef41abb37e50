#ifndef BRIARDRUM_ROUTING_FLOWS_REDIRECT_TABLE_HPP
#define BRIARDRUM_ROUTING_FLOWS_REDIRECT_TABLE_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

namespace briardrum
{

// Redirects for flows that are owned by another agent. The home of a flow keeps
// one if it placed the flow elsewhere, and a former owner keeps one for each
// flow that it handed over.
class redirect_table
{
public:
    struct row
    {
        member_id owner = 0;
        incarnation_number owner_life = 0;
        flow_generation generation = 0;
        millis last_used;
    };

    // Sets the owner of a flow. A record with an older generation does not
    // replace a newer one of the same owner.
    auto set(millis now, const redirect_record& record) -> void;

    // Returns the row, after updating its time of last use, or nullptr.
    auto touch(millis now, const flow_key& key) -> const row*;

    auto find(const flow_key& key) const -> const row*;

    auto erase(const flow_key& key) -> void;

    // Removes rows that have not been used for this long.
    auto expire(millis now, millis idle) -> void;

    auto rows() const -> const table<flow_key, row>&;

private:
    table<flow_key, row> rows_;
};

} // namespace briardrum

#endif
