#ifndef BRIARDRUM_CORE_CHECKS_INVARIANT_HPP
#define BRIARDRUM_CORE_CHECKS_INVARIANT_HPP

#include <string_view>

namespace briardrum
{

// Prints the broken invariant to standard error and ends the process with
// abort(). Called by BRIARDRUM_INVARIANT.
[[noreturn]] auto fail_invariant(std::string_view condition,
                                 std::string_view file, int line) -> void;

} // namespace briardrum

// Checks a condition in every build. Each use carries a comment that says
// what the caller did wrong when it fails.
#define BRIARDRUM_INVARIANT(condition)                                         \
    do                                                                         \
    {                                                                          \
        if (!(condition))                                                      \
        {                                                                      \
            ::briardrum::fail_invariant(#condition, __FILE__, __LINE__);       \
        }                                                                      \
    } while (false)

#endif
