#ifndef BRIARDRUM_WIRE_CODEC_DECODE_GUARD_HPP
#define BRIARDRUM_WIRE_CODEC_DECODE_GUARD_HPP

#include "core/core.hpp"

#include <string>
#include <string_view>

namespace briardrum
{

// Checks values while a message is decoded. The first check that fails makes
// ok() false for good; values that failed come out as their type's zero, so
// that decoding can go on to its end and be judged once.
//
// It also bounds what a message decodes to: parts of a FlatBuffers message may
// overlap, so a short one could ask for far more memory than its own length.
// Everything taken is counted against the length of the message.
class decode_guard
{
public:
    explicit decode_guard(std::size_t message_bytes);

    auto ok() const -> bool;

    // Counts this many bytes of the message as used.
    auto consume(std::size_t n) -> bool;

    // Copies of text and bytes that are no longer than limit.
    auto text(std::string_view value, std::size_t limit) -> std::string;
    auto bytes(byte_view value, std::size_t limit) -> byte_buffer;

    // The value when it lies within [least, most].
    auto number(std::int64_t value, std::int64_t minimum, std::int64_t maximum)
        -> std::int64_t;

    // The enumerator with this number when it is no later than last.
    template <typename Enum>
    auto enumerator(std::uint8_t value, Enum last) -> Enum
    {
        return static_cast<Enum>(
            number(value, 0, static_cast<std::int64_t>(last)));
    }

private:
    std::size_t remaining_bytes_;
    bool ok_ = true;
};

} // namespace briardrum

#endif
