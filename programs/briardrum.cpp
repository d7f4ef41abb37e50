#include "core/core.hpp"

#include <cstdio>

auto main() -> int
{
    std::puts("briardrum " BRIARDRUM_VERSION);
    return 0;
}
