#ifndef BRIARDRUM_WIRE_CODEC_DECODE_GUARD_HPP
#define BRIARDRUM_WIRE_CODEC_DECODE_GUARD_HPP

#include "core/core.hpp"

#include <string>
#include <string_view>

namespace briardrum
{

// Validates values while a message is decoded. After the first failed check
// ok() stays false. Invalid values are replaced by the zero of their type, so
// that decoding can run to its end and ok() needs to be checked only once.
//
// It also bounds the size of the decoded message: parts of a FlatBuffers
// message may overlap, so that a short message could allocate far more memory
// than its own length. All consumed bytes are counted against the length of the
// message.
class decode_guard
{
public:
    explicit decode_guard(std::size_t message_bytes);

    auto ok() const -> bool;

    // Counts n bytes of the message as consumed. Returns ok().
    auto consume(std::size_t n) -> bool;

    // Returns a copy of a value that is no longer than limit bytes.
    auto text(std::string_view value, std::size_t limit) -> std::string;
    auto bytes(byte_view value, std::size_t limit) -> byte_buffer;

    // Returns the value if it is in [minimum, maximum].
    auto number(std::int64_t value, std::int64_t minimum, std::int64_t maximum)
        -> std::int64_t;

    // Returns the enumerator with this number if it is not after last.
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
