#ifndef BRIARDRUM_PACKETS_AGENT_ANSWER_BASELINE_HPP
#define BRIARDRUM_PACKETS_AGENT_ANSWER_BASELINE_HPP

#include "core/core.hpp"

#include <optional>
#include <vector>

namespace briardrum
{

// Long-term median of a server's answer times. Once there are enough samples
// to compare answers with, at most one a second is taken, so that the median
// follows a change of the server over minutes and not within one.
class answer_baseline
{
public:
    auto add(millis now, millis answer_time) -> void;

    // Forgets all samples. Call when another server process has started.
    auto clear() -> void;

    // Returns the median, or nothing while there are too few samples even for
    // an estimate.
    auto median() const -> std::optional<millis>;

    // Returns true if there are enough samples to compare answers with.
    auto is_settled() const -> bool;

private:
    std::vector<millis> samples_;
    // Position in samples_ of the oldest one, once all are in use.
    std::size_t oldest_ = 0;
    millis next_sample_at_;
    std::optional<millis> median_;
};

} // namespace briardrum

#endif
