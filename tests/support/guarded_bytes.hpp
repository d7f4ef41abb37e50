#ifndef BRIARDRUM_TESTS_SUPPORT_GUARDED_BYTES_HPP
#define BRIARDRUM_TESTS_SUPPORT_GUARDED_BYTES_HPP

#include "core/core.hpp"

namespace briardrum
{

// Holds a copy of some bytes whose end is the end of readable memory, so that
// a parser which reads one byte too far ends the test program at once, also
// inside a library that was built without a sanitizer.
class guarded_bytes
{
public:
    explicit guarded_bytes(std::size_t capacity);
    ~guarded_bytes();
    guarded_bytes(const guarded_bytes&) = delete;
    auto operator=(const guarded_bytes&) -> guarded_bytes& = delete;

    // The copy; valid until the next call. bytes fit into the capacity.
    auto copy(byte_view bytes) -> byte_view;

private:
    std::size_t readable_;
    std::size_t mapped_;
    std::uint8_t* start_;
};

} // namespace briardrum

#endif
