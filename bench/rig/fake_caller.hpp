#ifndef BRIARDRUM_BENCH_RIG_FAKE_CALLER_HPP
#define BRIARDRUM_BENCH_RIG_FAKE_CALLER_HPP

#include "bench/rig/event_queue.hpp"
#include "core/core.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briardrum::rig
{

// What a caller does in its flow.
struct caller_profile
{
    // Mean time between the end of a request and the next.
    millis think_mean = seconds(2);
    // Share of requests that are confirmations (POST); the rest look up.
    double confirm_share = 0.2;
    bool streams = false;
    // A stream that says nothing for this long counts as broken.
    millis stream_silence_max = seconds(15);
    // How long the caller waits for an answer in all.
    millis patience = seconds(90);
};

// How the caller's requests ended, over all callers.
struct caller_totals
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    // Answers for another request, service or with other content.
    std::uint64_t wrong = 0;
    std::uint64_t missing = 0;
    std::uint64_t not_run = 0;
    std::uint64_t busy = 0;
    std::uint64_t cookie_missing = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t notifications = 0;
    std::uint64_t retransmissions = 0;
    // Established flows whose request got no whole answer, whose cookie was
    // no longer honoured or whose stream fell silent.
    std::uint64_t broken_flows = 0;
    // The same for flows of servers that a test killed.
    std::uint64_t excused_flows = 0;
    // Business keys of confirmations that were told "not run".
    std::vector<std::string> not_run_keys;
    // What went wrong, one line each: time, flow, what.
    std::vector<std::string> notes;
    // Latency in ms of each answered request.
    std::vector<std::int64_t> latencies;
};

// One caller's socket: a CoAP client with one request at a time, confirmable
// and retransmitted as RFC 7252 says, that takes a cookie from each answer and
// shows it on its next request.
class fake_caller
{
public:
    using send_hook = std::function<void(byte_view)>;

    fake_caller(std::string name, std::string service, caller_profile profile,
                event_queue& queue, std::uint64_t seed, caller_totals& totals,
                send_hook send);

    auto start(millis delay) -> void;

    // No further requests; the one in progress goes on.
    auto finish() -> void;

    auto on_datagram(byte_view datagram) -> void;

    // The server that answered last.
    auto server() const -> const std::string&;

    // What breaks from now on is the fault of a kill that the test wanted.
    auto excuse() -> void;

    auto is_broken() const -> bool;

    auto open_request() const -> std::string;

private:
    struct request
    {
        std::uint64_t number = 0;
        std::uint8_t method = 1;
        std::string key;
        byte_buffer datagram;
        std::uint16_t message_id = 0;
        millis sent_at;
        millis interval;
        int sends = 1;
        bool acknowledged = false;
        bool open = false;
    };

    auto next_request() -> void;
    auto send_request(std::uint8_t method, bool observe) -> void;
    auto retransmit(std::uint64_t number) -> void;
    auto give_up(std::uint64_t number) -> void;
    auto on_answer(const coap_view& view) -> void;
    auto on_refusal(const coap_view& view, const std::string& text) -> void;
    auto on_notification(const coap_view& view) -> void;
    auto check_stream() -> void;
    auto read_payload(const coap_view& view, std::string& key) -> bool;
    auto mark_broken(const std::string& why) -> void;
    auto plan_next() -> void;

    std::string name_;
    std::string service_;
    caller_profile profile_;
    event_queue& queue_;
    random_source random_;
    caller_totals& totals_;
    send_hook send_;
    request current_;
    std::uint64_t next_number_ = 1;
    std::uint16_t next_message_id_;
    byte_buffer cookie_;
    std::string server_;
    std::uint64_t stream_token_ = 0;
    std::uint32_t stream_sequence_ = 0;
    millis stream_heard_;
    bool finished_ = false;
    bool broken_ = false;
    bool excused_ = false;
};

} // namespace briardrum::rig

#endif
