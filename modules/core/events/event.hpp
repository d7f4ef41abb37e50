#ifndef BRIARDRUM_CORE_EVENTS_EVENT_HPP
#define BRIARDRUM_CORE_EVENTS_EVENT_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briardrum
{

enum class event_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

// Structured event for logs and golden sessions: a name and key=value fields.
// Fields are added with with(): event("flow_placed").with("flow", key).
class event
{
public:
    explicit event(std::string_view name,
                   event_level level = event_level::info);

    auto with(std::string_view key, std::string value) && -> event&&;
    auto with(std::string_view key, std::string_view value) && -> event&&;
    auto with(std::string_view key, const char* value) && -> event&&;
    auto with(std::string_view key, std::uint64_t value) && -> event&&;

    auto name() const -> std::string_view;
    auto level() const -> event_level;

    // Formats the event as "event=flow_placed flow=10.0.0.1:9/2". Empty values
    // and values with white space, '=' or '"' are quoted.
    auto line() const -> std::string;

private:
    std::string name_;
    event_level level_;
    std::vector<std::pair<std::string, std::string>> fields_;
};

// Receives each event as it occurs. May be empty.
using event_sink = std::function<void(const event&)>;

} // namespace briardrum

#endif
