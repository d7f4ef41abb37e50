#include "tests/support/guard_page_buffer.hpp"

#include <algorithm>
#include <sys/mman.h>
#include <unistd.h>

namespace briardrum
{

namespace
{

auto page_bytes() -> std::size_t
{
    return static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

auto round_up_to_pages(std::size_t n) -> std::size_t
{
    const auto page = page_bytes();
    return std::max<std::size_t>((n + page - 1) / page, 1) * page;
}

} // namespace

guard_page_buffer::guard_page_buffer(std::size_t capacity)
    : readable_(round_up_to_pages(capacity)), mapped_(readable_ + page_bytes()),
      start_(static_cast<std::uint8_t*>(
          ::mmap(nullptr, mapped_, PROT_READ | PROT_WRITE,
                 MAP_PRIVATE | MAP_ANONYMOUS, -1, 0)))
{
    // The system has not enough memory for the test.
    BRIARDRUM_INVARIANT(start_ != MAP_FAILED);
    ::mprotect(start_ + readable_, page_bytes(), PROT_NONE);
}

guard_page_buffer::~guard_page_buffer()
{
    ::munmap(start_, mapped_);
}

auto guard_page_buffer::copy(byte_view bytes) -> byte_view
{
    // The test passed more bytes than the capacity that it requested.
    BRIARDRUM_INVARIANT(bytes.size() <= readable_);
    auto* begin = start_ + readable_ - bytes.size();
    std::copy(bytes.begin(), bytes.end(), begin);
    return {begin, bytes.size()};
}

} // namespace briardrum
