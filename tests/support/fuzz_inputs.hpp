#ifndef BRIARDRUM_TESTS_SUPPORT_FUZZ_INPUTS_HPP
#define BRIARDRUM_TESTS_SUPPORT_FUZZ_INPUTS_HPP

#include "core/core.hpp"

#include <functional>

namespace briardrum
{

// Takes bytes that may be anything; they are valid during the call only.
using bytes_callback = std::function<void(byte_view)>;

// True when part lies within whole; empty parts always do.
auto is_subrange(byte_view part, byte_view whole) -> bool;

// Calls use for every prefix of the message, shortest first, up to but not
// including the whole.
auto for_each_truncation(byte_view message, const bytes_callback& use) -> void;

// Calls use for copies of the message with one to four bytes changed.
auto for_each_corruption(byte_view message, std::uint64_t seed,
                         const bytes_callback& use) -> void;

// Calls use for random bytes of random length up to size_max.
auto for_each_random(std::size_t size_max, std::uint64_t seed,
                     const bytes_callback& use) -> void;

} // namespace briardrum

#endif
