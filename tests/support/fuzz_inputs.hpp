#ifndef BRIARDRUM_TESTS_SUPPORT_FUZZ_INPUTS_HPP
#define BRIARDRUM_TESTS_SUPPORT_FUZZ_INPUTS_HPP

#include "core/core.hpp"

#include <functional>

namespace briardrum
{

// Receives arbitrary bytes, which are valid only during the call.
using bytes_callback = std::function<void(byte_view)>;

// Returns true if part is empty or points entirely into whole.
auto is_subrange(byte_view part, byte_view whole) -> bool;

// Calls use with every proper prefix of the message, shortest first.
auto for_each_truncation(byte_view message, const bytes_callback& use) -> void;

// Calls use with copies of the message in which one to four random bytes were
// overwritten.
auto for_each_corruption(byte_view message, std::uint64_t seed,
                         const bytes_callback& use) -> void;

// Calls use with random bytes of random length up to size_max.
auto for_each_random(std::size_t size_max, std::uint64_t seed,
                     const bytes_callback& use) -> void;

} // namespace briardrum

#endif
