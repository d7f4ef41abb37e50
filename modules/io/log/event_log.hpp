#ifndef BRIARDRUM_IO_LOG_EVENT_LOG_HPP
#define BRIARDRUM_IO_LOG_EVENT_LOG_HPP

#include "core/core.hpp"
#include "io/log/bounded_output.hpp"
#include "io/log/event_limiter.hpp"

#include <memory>
#include <spdlog/spdlog.h>

namespace briardrum
{

// Writes events to standard output, one line of key=value pairs each:
//
//     time=2026-01-31T08:00:00.123Z level=info process=agent-1 event=started
//
// Lines wait in a bounded buffer until flush(), which never blocks; warnings
// and errors are flushed at once.
class event_log
{
public:
    // process is the name from the settings. Events below the level are
    // passed over.
    event_log(const std::string& process, event_level level);
    ~event_log();
    event_log(const event_log&) = delete;
    auto operator=(const event_log&) -> event_log& = delete;

    // Writes the event, or counts it where its name came too often.
    auto write(millis now, const event& value) -> void;

    // Writes one log_suppressed line for each name that was kept out. Call
    // it every second or so.
    auto report_suppressed(millis now) -> void;

    // Hands what waits to standard output, as far as it takes it now.
    auto flush() -> void;

    // A sink that reads the clock for write().
    auto sink() -> event_sink;

private:
    event_level level_;
    std::shared_ptr<bounded_output> output_;
    std::shared_ptr<spdlog::logger> logger_;
    event_limiter limiter_;
};

} // namespace briardrum

#endif
