#include "tests/support/bad_bytes.hpp"

#include "tests/support/guarded_bytes.hpp"

namespace briardrum
{

namespace
{

constexpr int tries = 20000;

} // namespace

auto lies_within(byte_view part, byte_view whole) -> bool
{
    return part.empty() ||
           (part.data() >= whole.data() &&
            part.data() + part.size() <= whole.data() + whole.size());
}

auto for_each_truncation(byte_view message, const bytes_hook& use) -> void
{
    guarded_bytes memory(message.size());
    for (std::size_t n = 0; n < message.size(); ++n)
    {
        use(memory.copy(message.first(n)));
    }
}

auto for_each_corruption(byte_view message, std::uint64_t seed,
                         const bytes_hook& use) -> void
{
    constexpr std::uint64_t changes_max = 4;
    constexpr std::uint64_t byte_values = 256;
    guarded_bytes memory(message.size());
    random_source random(seed);
    for (int n = 0; n < tries; ++n)
    {
        auto bytes = to_buffer(message);
        for (auto left = 1 + random.below(changes_max); left > 0; --left)
        {
            bytes[random.below(bytes.size())] =
                static_cast<std::uint8_t>(random.below(byte_values));
        }
        use(memory.copy(bytes));
    }
}

auto for_each_random(std::size_t size_max, std::uint64_t seed,
                     const bytes_hook& use) -> void
{
    guarded_bytes memory(size_max);
    random_source random(seed);
    byte_buffer bytes;
    for (int n = 0; n < tries; ++n)
    {
        bytes.resize(random.below(size_max + 1));
        for (auto& byte : bytes)
        {
            byte = static_cast<std::uint8_t>(random.bits());
        }
        use(memory.copy(bytes));
    }
}

} // namespace briardrum
