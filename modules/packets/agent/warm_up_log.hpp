#ifndef BRIARDRUM_PACKETS_AGENT_WARM_UP_LOG_HPP
#define BRIARDRUM_PACKETS_AGENT_WARM_UP_LOG_HPP

#include "packets/agent/agent_state.hpp"

namespace briardrum
{

// Writes the events of the slow start of the server: when the limit begins to
// count, also when a heartbeat confirms that the server is cold, when it ceases
// to count, and at most once a second how many opening packets it held back.
class warm_up_log
{
public:
    explicit warm_up_log(agent_state& state);

    // Call on each tick, and after each change of the limit or of the server.
    auto update(millis now) -> void;

private:
    auto begin(millis now) -> void;
    auto write_started(millis now) -> void;
    auto write_ended(millis now) -> void;
    auto write_held_back(millis now) -> void;

    agent_state& state_;
    bool limited_ = false;
    bool heard_ = false;
    millis limited_since_;
    // Values of the counters when the limit began to count, and when openings
    // held back were last written.
    std::uint64_t openings_before_ = 0;
    std::uint64_t held_before_ = 0;
    std::uint64_t held_written_ = 0;
    millis next_held_line_;
};

} // namespace briardrum

#endif
