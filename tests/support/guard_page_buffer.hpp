#ifndef BRIARDRUM_TESTS_SUPPORT_GUARD_PAGE_BUFFER_HPP
#define BRIARDRUM_TESTS_SUPPORT_GUARD_PAGE_BUFFER_HPP

#include "core/core.hpp"

namespace briardrum
{

// Holds a copy of bytes that ends directly before an inaccessible guard page. A
// parser that reads one byte past the end crashes the test program, even inside
// a library that was built without a sanitizer.
class guard_page_buffer
{
public:
    explicit guard_page_buffer(std::size_t capacity);
    ~guard_page_buffer();
    guard_page_buffer(const guard_page_buffer&) = delete;
    auto operator=(const guard_page_buffer&) -> guard_page_buffer& = delete;

    // Returns a view of the copy, valid until the next call. bytes must not
    // exceed the capacity.
    auto copy(byte_view bytes) -> byte_view;

private:
    std::size_t readable_;
    std::size_t mapped_;
    std::uint8_t* start_;
};

} // namespace briardrum

#endif
