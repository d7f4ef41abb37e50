#include "wire/codec/decode_guard.hpp"

namespace briardrum
{

decode_guard::decode_guard(std::size_t message_bytes)
    : remaining_bytes_(message_bytes)
{
}

auto decode_guard::ok() const -> bool
{
    return ok_;
}

auto decode_guard::consume(std::size_t n) -> bool
{
    ok_ = ok_ && n <= remaining_bytes_;
    remaining_bytes_ -= ok_ ? n : 0;
    return ok_;
}

auto decode_guard::text(std::string_view value, std::size_t limit)
    -> std::string
{
    ok_ = ok_ && value.size() <= limit;
    return consume(value.size()) ? std::string(value) : std::string();
}

auto decode_guard::bytes(byte_view value, std::size_t limit) -> byte_buffer
{
    ok_ = ok_ && value.size() <= limit;
    return consume(value.size()) ? to_buffer(value) : byte_buffer();
}

auto decode_guard::number(std::int64_t value, std::int64_t minimum,
                          std::int64_t maximum) -> std::int64_t
{
    const auto within = value >= minimum && value <= maximum;
    ok_ = ok_ && within;
    return within ? value : 0;
}

} // namespace briardrum
