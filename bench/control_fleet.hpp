#ifndef BRIARDRUM_BENCH_CONTROL_FLEET_HPP
#define BRIARDRUM_BENCH_CONTROL_FLEET_HPP

#include "membership/membership.hpp"
#include "node/distribution/configuration_distributor.hpp"
#include "node/store/store_watcher.hpp"
#include "stand_ins/store/virtual_store.hpp"

#include <deque>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace briardrum::bench
{

// What the daemons of a fleet sent since the counts were reset.
struct control_counts
{
    std::uint64_t membership_bytes = 0;
    std::uint64_t configuration_bytes = 0;
    std::uint64_t store_calls = 0;
};

// Daemons that do only control work, on virtual time: membership, spread of
// the configuration and, for watchers, the store. Each message is encoded,
// counted with its frame and decoded.
class control_fleet
{
public:
    control_fleet(std::size_t daemons, std::size_t services,
                  std::uint64_t seed);
    ~control_fleet();
    control_fleet(const control_fleet&) = delete;
    auto operator=(const control_fleet&) -> control_fleet& = delete;

    auto run(millis span) -> void;

    // An operator changes one policy.
    auto change() -> void;

    // True when every daemon holds what the store holds.
    auto is_in_force() const -> bool;

    auto now() const -> millis;
    auto counts() const -> control_counts;
    auto reset_counts() -> void;

private:
    struct daemon;

    auto add_daemon(std::uint32_t n, std::uint64_t seed) -> void;
    auto send(const endpoint& to, const control_message& message) -> void;
    auto deliver() -> void;
    auto tick(daemon& item) -> void;
    auto store_calls() const -> std::uint64_t;

    millis now_ = seconds(1);
    configuration stored_;
    stand_in::memory_store data_;
    std::deque<std::unique_ptr<daemon>> daemons_;
    std::deque<std::pair<endpoint, byte_buffer>> queue_;
    control_counts counts_;
    std::uint64_t store_calls_before_ = 0;
};

} // namespace briardrum::bench

#endif
