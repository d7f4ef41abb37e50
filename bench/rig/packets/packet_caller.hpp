#ifndef BRIARDRUM_BENCH_RIG_PACKETS_PACKET_CALLER_HPP
#define BRIARDRUM_BENCH_RIG_PACKETS_PACKET_CALLER_HPP

#include "bench/rig/event_queue.hpp"
#include "packets/packets.hpp"

#include <functional>
#include <string>
#include <vector>

namespace briardrum::rig
{

// One kind of request: how many, how long they take, what they are worth.
struct packet_load
{
    std::string name;
    endpoint route;
    std::string service_name;
    std::uint8_t urgency = 0;
    double per_second = 0;
    millis work = milliseconds(40);
    // Answered after aim a request is late, after deadline it is lost.
    millis aim = milliseconds(200);
    millis deadline = seconds(2);
    double worth = 1;
    double late_worth = 0.3;
    // Tries after the first; a request that may run once is tried again only
    // when its flow never opened or the server refused it unrun.
    std::uint32_t retries = 2;
    bool repeatable = true;
    // Share of requests that take longer than drawn, by this factor.
    double tail_share = 0;
    double tail_factor = 1;
};

// How the requests of one load ended.
struct load_tally
{
    std::uint64_t asked = 0;
    std::uint64_t in_aim = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t runs = 0;
    // Requests that may run once and ran again.
    std::uint64_t doubled = 0;
    std::vector<std::int64_t> times_ms;

    auto in_aim_share() const -> double;
    auto served_share() const -> double;
    // Nearest rank; 0 without requests.
    auto percentile_ms(double share) const -> std::int64_t;
};

// All callers: Poisson arrivals, opening packets with copies after 200 and 600
// ms, an end of each try after 1.4 s without an answer, tries anew after a
// reset or a refusal.
class packet_caller
{
public:
    packet_caller(event_queue& events, std::vector<packet_load> loads,
                  std::uint64_t seed,
                  std::function<void(const flow_packet&)> send);

    auto start() -> void;
    auto set_factor(const std::string& load, double factor) -> void;

    auto on_packet(const flow_packet& packet) -> void;
    auto on_reset(const flow_key& flow) -> void;

    // What the server learns of the flow's request, and tells of it.
    auto work_of(const flow_key& flow) -> millis;
    auto on_run(const flow_key& flow) -> void;
    auto on_refused(const flow_key& flow) -> void;

    // True when the caller has seen the flow open.
    auto is_open(const flow_key& flow) const -> bool;

    // Earned over owed, of requests asked between two times.
    auto worth_between(millis from, millis until) const -> double;

    auto loads() const -> const std::vector<packet_load>&;
    auto tally(const std::string& load) const -> const load_tally&;
    auto clear_tallies() -> void;

private:
    struct request
    {
        std::size_t load = 0;
        millis asked_at;
        millis work;
        std::uint32_t tries = 0;
        std::uint32_t runs = 0;
        bool ended = false;
    };

    struct flow_try
    {
        std::size_t number = 0;
        endpoint caller;
        bool open = false;
        bool refused = false;
        // Of the server whose answer to the opening packet came first.
        std::uint32_t server_sequence = 0;
    };

    struct outcome
    {
        millis asked_at;
        double owed = 0;
        double earned = 0;
    };

    auto arrive(std::size_t load) -> void;
    auto open(std::size_t number) -> void;
    auto send_opening(const flow_key& flow, std::uint8_t copies) -> void;
    auto send(const flow_key& flow, bool opens, std::uint8_t copies,
              std::uint16_t payload) -> void;
    auto try_again(std::size_t number, bool ran_maybe) -> void;
    auto end(std::size_t number, bool answered) -> void;
    auto draw_work(const packet_load& load) -> millis;

    event_queue& events_;
    std::vector<packet_load> loads_;
    std::vector<double> factors_;
    // When the next request of each load is due.
    std::vector<double> next_ms_;
    std::vector<load_tally> tallies_;
    random_source random_;
    std::function<void(const flow_packet&)> send_;
    std::vector<request> requests_;
    std::vector<outcome> outcomes_;
    table<flow_key, flow_try> tries_;
    std::uint32_t next_port_ = 0;
};

} // namespace briardrum::rig

#endif
