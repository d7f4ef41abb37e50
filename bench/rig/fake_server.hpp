#ifndef BRIARDRUM_BENCH_RIG_FAKE_SERVER_HPP
#define BRIARDRUM_BENCH_RIG_FAKE_SERVER_HPP

#include "bench/rig/event_queue.hpp"
#include "core/core.hpp"
#include "wire/wire.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace briardrum::rig
{

// How a fake backend server behaves.
struct server_profile
{
    std::uint32_t slots = 5;
    millis work_mean = milliseconds(20);
    // Requests waiting inside the server before it sheds load with 5.03.
    std::size_t backlog_max = 50;
    // Slower by this factor while cold.
    double cold_factor = 1;
    millis cold_for;
    double slow_factor = 1;
    // Chance that a request gets no answer, or an answer much too late.
    double silent_chance = 0;
    double late_chance = 0;
    millis stream_interval = seconds(2);
};

// A backend server with slots, as a small queueing model that speaks CoAP. It
// counts how often it ran each business key (a request's payload), and answers
// "service|server|key".
class fake_server
{
public:
    using send_hook = std::function<void(const flow_key&, byte_view)>;

    fake_server(std::string service, std::string name, server_profile profile,
                event_queue& queue, std::uint64_t seed, send_hook send);

    auto on_datagram(const flow_key& flow, byte_view datagram) -> void;

    // The process dies: all it had is gone, and nothing is sent any more.
    auto stop() -> void;

    auto change_profile(const server_profile& profile) -> void;

    auto runs() const -> const std::map<std::string, int>&;
    auto completed() const -> std::uint64_t;
    auto busy_time() const -> millis;
    auto stream_count() const -> std::size_t;

private:
    struct job
    {
        flow_key flow;
        byte_buffer token;
        std::uint16_t message_id = 0;
        std::uint8_t method = 1;
        std::string key;
        bool observe = false;
    };

    struct stream
    {
        flow_key flow;
        byte_buffer token;
        std::string key;
        std::uint32_t sequence = 1;
    };

    auto start(job next) -> void;
    auto finish(const job& done) -> void;
    auto reply(const job& done, std::uint16_t code) -> void;
    auto notify(const std::string& name) -> void;
    auto work_time() -> millis;

    std::string service_;
    std::string name_;
    server_profile profile_;
    event_queue& queue_;
    random_source random_;
    send_hook send_;
    bool stopped_ = false;
    millis started_at_;
    std::uint32_t running_ = 0;
    std::deque<job> waiting_;
    std::map<std::string, stream> streams_;
    std::map<std::uint16_t, std::string> notified_;
    std::uint16_t next_message_id_ = 1;
    std::map<std::string, int> runs_;
    std::uint64_t completed_ = 0;
    millis busy_time_;
};

} // namespace briardrum::rig

#endif
