#ifndef BRIARDRUM_IO_HTTP_METRICS_TEXT_HPP
#define BRIARDRUM_IO_HTTP_METRICS_TEXT_HPP

#include "report/metrics/latency_histogram.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace briardrum
{

// One label of a metric; without a name there is none.
struct metric_label
{
    std::string_view name;
    std::string_view value;
};

// Collects counters and gauges and writes them in the Prometheus text format,
// each metric's values together under their type. Names get the prefix
// "briardrum_".
class metrics_text
{
public:
    auto counter(std::string_view name, std::uint64_t value,
                 metric_label label = {}) -> void;
    auto gauge(std::string_view name, std::uint64_t value,
               metric_label label = {}) -> void;

    // Counts at a few bounds, in milliseconds.
    auto histogram(std::string_view name, const latency_histogram& values)
        -> void;

    auto text() const -> std::string;

private:
    auto add(std::string_view kind, std::string_view name, std::uint64_t value,
             metric_label label) -> void;

    std::map<std::string, std::string> metrics_;
};

} // namespace briardrum

#endif
