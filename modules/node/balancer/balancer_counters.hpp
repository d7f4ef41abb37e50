#ifndef BRIARDRUM_NODE_BALANCER_BALANCER_COUNTERS_HPP
#define BRIARDRUM_NODE_BALANCER_BALANCER_COUNTERS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace briardrum
{

// Counters of a balancer over all services.
enum class balancer_counter : std::uint8_t
{
    unknown_service,
    no_configuration,
    oversize,
    misdelivered_answers,
};

constexpr std::size_t balancer_counter_count =
    static_cast<std::size_t>(balancer_counter::misdelivered_answers) + 1;

// Counters of a balancer per service.
enum class service_counter : std::uint8_t
{
    received,
    forwarded,
    forwarded_by_hint,
    answers,
    dropped_over_share,
    dropped_too_late,
    dropped_removed,
    dropped_no_server,
};

constexpr std::size_t service_counter_count =
    static_cast<std::size_t>(service_counter::dropped_no_server) + 1;

// Returns the counter's name in metrics.
auto to_string(balancer_counter which) -> std::string_view;
auto to_string(service_counter which) -> std::string_view;

// Counters by kind since the process started.
template <typename Kind, std::size_t Count>
class counter_set
{
public:
    auto add(Kind which) -> void
    {
        ++values_[static_cast<std::size_t>(which)];
    }

    // Calls visit(name, value) for each counter.
    template <typename Visit>
    auto visit_all(Visit visit) const -> void
    {
        for (std::size_t n = 0; n < Count; ++n)
        {
            visit(to_string(static_cast<Kind>(n)), values_[n]);
        }
    }

private:
    std::array<std::uint64_t, Count> values_{};
};

using balancer_counters = counter_set<balancer_counter, balancer_counter_count>;
using service_counters = counter_set<service_counter, service_counter_count>;

} // namespace briardrum

#endif
