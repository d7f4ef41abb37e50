#include "core/checks/invariant.hpp"

#include <cstdio>
#include <cstdlib>

namespace briardrum
{

auto fail_invariant(std::string_view condition, std::string_view file, int line)
    -> void
{
    std::fprintf(stderr,
                 "event=invariant_broken condition=\"%.*s\" at=%.*s:%d\n",
                 static_cast<int>(condition.size()), condition.data(),
                 static_cast<int>(file.size()), file.data(), line);
    std::abort();
}

} // namespace briardrum
