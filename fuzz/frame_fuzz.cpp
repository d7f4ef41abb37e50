#include "wire/wire.hpp"

#include <algorithm>

using namespace briardrum;

// Feeds any bytes to a frame reader, the first one saying in what steps.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int
{
    if (size == 0)
    {
        return 0;
    }
    const std::size_t step = std::size_t{data[0]} + 1;
    byte_view rest{data + 1, size - 1};
    frame_reader reader;
    std::size_t given = 0;
    while (!rest.empty())
    {
        const auto n = std::min(step, rest.size());
        reader.feed(rest.first(n));
        rest = rest.subspan(n);
        auto it = reader.next();
        for (; it.ok() && it->has_value(); it = reader.next())
        {
            given += (*it)->size();
        }
    }
    // The reader gave out more than it was fed.
    BRIARDRUM_INVARIANT(given < size);
    return 0;
}
