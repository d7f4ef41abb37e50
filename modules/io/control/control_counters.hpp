#ifndef BRIARDRUM_IO_CONTROL_CONTROL_COUNTERS_HPP
#define BRIARDRUM_IO_CONTROL_CONTROL_COUNTERS_HPP

#include <cstdint>

namespace briardrum
{

// What the control connections of a process did so far.
struct control_counters
{
    std::uint64_t opened = 0;
    std::uint64_t accepted = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t bytes_sent = 0;
    // Messages dropped because a queue was full or no connection could be
    // had.
    std::uint64_t dropped = 0;
    std::uint64_t bad_frames = 0;
    // Connections closed because they were silent.
    std::uint64_t silent = 0;
};

} // namespace briardrum

#endif
