#include "io/log/bounded_output.hpp"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace briardrum
{

namespace
{

// A pipe that poll() calls writable takes so many bytes without blocking
// (PIPE_BUF on Linux).
constexpr std::size_t write_bytes_max = 4096;

} // namespace

bounded_output::bounded_output(int descriptor) : descriptor_(descriptor) {}

auto bounded_output::sink_it_(const spdlog::details::log_msg& message) -> void
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (waiting_.size() + line.size() > buffer_bytes_max)
    {
        ++lost_;
        return;
    }
    waiting_.append(line.data(), line.size());
}

auto bounded_output::flush_() -> void
{
    std::size_t done = 0;
    while (done < waiting_.size() && can_write())
    {
        const auto part = std::min(waiting_.size() - done, write_bytes_max);
        const auto n = ::write(descriptor_, waiting_.data() + done, part);
        if (n <= 0)
        {
            break;
        }
        done += static_cast<std::size_t>(n);
    }
    waiting_.erase(0, done);
}

auto bounded_output::can_write() const -> bool
{
    pollfd it{descriptor_, POLLOUT, 0};
    return ::poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

auto bounded_output::take_lost() -> std::uint64_t
{
    return std::exchange(lost_, 0);
}

auto bounded_output::waiting_bytes() const -> std::size_t
{
    return waiting_.size();
}

} // namespace briardrum
