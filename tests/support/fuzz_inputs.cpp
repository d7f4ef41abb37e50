#include "tests/support/fuzz_inputs.hpp"

#include "tests/support/guard_page_buffer.hpp"

namespace briardrum
{

namespace
{

constexpr int iterations = 20000;

} // namespace

auto is_subrange(byte_view part, byte_view whole) -> bool
{
    return part.empty() ||
           (part.data() >= whole.data() &&
            part.data() + part.size() <= whole.data() + whole.size());
}

auto for_each_truncation(byte_view message, const bytes_callback& use) -> void
{
    guard_page_buffer memory(message.size());
    for (std::size_t n = 0; n < message.size(); ++n)
    {
        use(memory.copy(message.first(n)));
    }
}

auto for_each_corruption(byte_view message, std::uint64_t seed,
                         const bytes_callback& use) -> void
{
    constexpr std::uint64_t changes_max = 4;
    constexpr std::uint64_t byte_values = 256;
    guard_page_buffer memory(message.size());
    random_source random(seed);
    for (int n = 0; n < iterations; ++n)
    {
        auto bytes = to_buffer(message);
        for (auto remaining = 1 + random.below(changes_max); remaining > 0;
             --remaining)
        {
            bytes[random.below(bytes.size())] =
                static_cast<std::uint8_t>(random.below(byte_values));
        }
        use(memory.copy(bytes));
    }
}

auto for_each_random(std::size_t size_max, std::uint64_t seed,
                     const bytes_callback& use) -> void
{
    guard_page_buffer memory(size_max);
    random_source random(seed);
    byte_buffer bytes;
    for (int n = 0; n < iterations; ++n)
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
