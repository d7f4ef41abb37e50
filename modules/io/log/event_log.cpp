#include "io/log/event_log.hpp"

#include <spdlog/pattern_formatter.h>
#include <unistd.h>

namespace briardrum
{

namespace
{

auto to_spdlog(event_level level) -> spdlog::level::level_enum
{
    switch (level)
    {
    case event_level::debug:
        return spdlog::level::debug;
    case event_level::info:
        return spdlog::level::info;
    case event_level::warning:
        return spdlog::level::warn;
    case event_level::error:
        break;
    }
    return spdlog::level::err;
}

} // namespace

event_log::event_log(const std::string& process, event_level level)
    : level_(level), output_(std::make_shared<bounded_output>(STDOUT_FILENO)),
      logger_(std::make_shared<spdlog::logger>(process, output_))
{
    logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=%n %v",
        spdlog::pattern_time_type::utc));
    logger_->set_level(to_spdlog(level));
    logger_->flush_on(spdlog::level::warn);
}

event_log::~event_log()
{
    flush();
}

auto event_log::flush() -> void
{
    output_->flush();
}

auto event_log::write(millis now, const event& value) -> void
{
    const auto limit = value.level() >= event_level::warning
                           ? event_limiter::events_per_interval
                           : event_limiter::decisions_per_interval;
    if (value.level() < level_ || !limiter_.admit(now, value.name(), limit))
    {
        return;
    }
    logger_->log(to_spdlog(value.level()), value.line());
}

auto event_log::report_suppressed(millis now) -> void
{
    for (const auto& it : limiter_.take_suppressed(now))
    {
        const auto line = event("log_suppressed", event_level::warning)
                              .with("name", it.name)
                              .with("count", it.count)
                              .line();
        logger_->log(spdlog::level::warn, line);
    }
    const auto lost = output_->take_lost();
    if (lost > 0)
    {
        const auto line =
            event("log_lost", event_level::warning).with("lines", lost).line();
        logger_->log(spdlog::level::warn, line);
    }
}

auto event_log::sink() -> event_sink
{
    return [this](const event& value)
    {
        write(clock::now(), value);
    };
}

} // namespace briardrum
