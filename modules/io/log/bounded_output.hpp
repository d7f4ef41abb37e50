#ifndef BRIARDRUM_IO_LOG_BOUNDED_OUTPUT_HPP
#define BRIARDRUM_IO_LOG_BOUNDED_OUTPUT_HPP

#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace briardrum
{

// A log sink that never blocks: lines wait in a bounded buffer and go out as
// far as the descriptor takes them. A line that does not fit is dropped and
// counted.
class bounded_output final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    static constexpr std::size_t buffer_bytes_max = std::size_t{256} * 1024;

    explicit bounded_output(int descriptor);

    // Lines dropped since the last call.
    auto take_lost() -> std::uint64_t;

    auto waiting_bytes() const -> std::size_t;

protected:
    // The names are spdlog's.
    // NOLINTNEXTLINE(modernize-use-trailing-return-type)
    void sink_it_(const spdlog::details::log_msg& message) override;
    // NOLINTNEXTLINE(modernize-use-trailing-return-type)
    void flush_() override;

private:
    auto can_write() const -> bool;

    int descriptor_;
    std::string waiting_;
    std::uint64_t lost_ = 0;
};

} // namespace briardrum

#endif
