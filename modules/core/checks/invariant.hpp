#ifndef BRIARDRUM_CORE_CHECKS_INVARIANT_HPP
#define BRIARDRUM_CORE_CHECKS_INVARIANT_HPP

#include <string_view>

namespace briardrum
{

// Prints the violated invariant to standard error and calls abort(). Used by
// BRIARDRUM_INVARIANT.
[[noreturn]] auto fail_invariant(std::string_view condition,
                                 std::string_view file, int line) -> void;

} // namespace briardrum

// Checks a condition in every build type, including release. Each use carries a
// comment that states which mistake of the caller makes it fail.
#define BRIARDRUM_INVARIANT(condition)                                         \
    do                                                                         \
    {                                                                          \
        if (!(condition))                                                      \
        {                                                                      \
            ::briardrum::fail_invariant(#condition, __FILE__, __LINE__);       \
        }                                                                      \
    } while (false)

#endif
