#ifndef BRIARDRUM_PACKETS_AGENT_UNCONFIRMED_INCARNATIONS_HPP
#define BRIARDRUM_PACKETS_AGENT_UNCONFIRMED_INCARNATIONS_HPP

#include "packets/agent/server_heartbeat.hpp"

#include <vector>

namespace briardrum
{

// An incarnation of a server that heartbeats tell of and that does not count
// yet.
struct unconfirmed_incarnation
{
    server_heartbeat newest;
    std::uint64_t first_sequence = 0;
    millis first_at;
    millis last_at;
    // Heartbeats with rising sequence numbers.
    std::uint32_t heartbeats = 1;
    // Heartbeats of a further incarnation have arrived meanwhile.
    bool contradicted = false;
};

// Heartbeats that contradict what is known of the server. Each may come from
// another writer, so they are collected by incarnation and service until one
// of them is confirmed.
class unconfirmed_incarnations
{
public:
    // The least recently heard ones are dropped beyond this number.
    static constexpr std::size_t rows_max = 8;

    // Rows that were not heard for this long are dropped.
    explicit unconfirmed_incarnations(millis retention);

    // Returns what is known of the incarnation, this heartbeat included.
    auto add(millis now, const server_heartbeat& heartbeat)
        -> unconfirmed_incarnation;

    auto clear() -> void;

private:
    auto drop_old_rows(millis now) -> void;

    millis retention_;
    // In the order in which they were last heard.
    std::vector<unconfirmed_incarnation> rows_;
};

} // namespace briardrum

#endif
