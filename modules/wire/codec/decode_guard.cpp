#include "wire/codec/decode_guard.hpp"

namespace briardrum
{

decode_guard::decode_guard(std::size_t message_bytes) : left_(message_bytes) {}

auto decode_guard::ok() const -> bool
{
    return ok_;
}

auto decode_guard::take(std::size_t n) -> bool
{
    ok_ = ok_ && n <= left_;
    left_ -= ok_ ? n : 0;
    return ok_;
}

auto decode_guard::text(std::string_view value, std::size_t limit)
    -> std::string
{
    ok_ = ok_ && value.size() <= limit;
    return take(value.size()) ? std::string(value) : std::string();
}

auto decode_guard::bytes(byte_view value, std::size_t limit) -> byte_buffer
{
    ok_ = ok_ && value.size() <= limit;
    return take(value.size()) ? to_buffer(value) : byte_buffer();
}

auto decode_guard::number(std::int64_t value, std::int64_t least,
                          std::int64_t most) -> std::int64_t
{
    const auto within = value >= least && value <= most;
    ok_ = ok_ && within;
    return within ? value : 0;
}

} // namespace briardrum
