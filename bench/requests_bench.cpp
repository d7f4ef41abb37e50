#include "bench/measures.hpp"

#include "requests/requests.hpp"

#include <cstdio>
#include <malloc.h>
#include <memory>

namespace briardrum::bench
{

namespace
{

// What an agent may keep for its requests beside all else that it holds.
constexpr std::size_t bytes_target = std::size_t{64} << 20U;

struct requests_options
{
    std::uint64_t count = 100000;
    std::size_t answer_bytes = 64;
};

auto heap_bytes() -> std::size_t
{
    return mallinfo2().uordblks;
}

auto arrival_of(std::uint64_t n, byte_view datagram) -> request_arrival
{
    request_arrival out;
    out.id.flow = {{0x0a000001, static_cast<std::uint16_t>(n % 2000)}, 1};
    out.id.token = n;
    out.id.token_length = 8;
    out.id.message_id = static_cast<std::uint16_t>(n);
    out.datagram = datagram;
    return out;
}

// An engine whose server answers at once, or whose queue has no room.
class counted_engine
{
public:
    explicit counted_engine(const requests_options& options)
        : answer_(options.answer_bytes, 1),
          engine_(hooks(), 1, {bytes_target * 16, bytes_target, bytes_target})
    {
        engine_.set_slots(4);
    }

    // Heap bytes for each of so many requests that were answered.
    auto answered(std::uint64_t count) -> double
    {
        const byte_buffer datagram(64, 1);
        return measure_each(count,
                            [&](std::uint64_t n)
                            {
                                engine_.arrive({}, arrival_of(n, datagram));
                                engine_.on_answer({}, token_, answer_,
                                                  server_verdict::answered);
                            });
    }

    // The same for requests that were refused.
    auto refused(std::uint64_t count) -> double
    {
        const byte_buffer datagram(64, 1);
        service_policy policy;
        policy.queue_limit = 0;
        engine_.set_policy(policy);
        return measure_each(count,
                            [&](std::uint64_t n)
                            {
                                engine_.arrive({}, arrival_of(n, datagram));
                            });
    }

    auto stored_bytes() const -> std::size_t
    {
        return engine_.stored_bytes();
    }

    auto us_each() const -> double
    {
        return us_each_;
    }

private:
    auto hooks() -> request_hooks
    {
        request_hooks out;
        out.dispatch = [this](const request_id&, std::uint64_t token, byte_view)
        {
            token_ = token;
        };
        out.answer = [](const request_id&, byte_view) {};
        out.refuse = [](const request_id&, error_kind, millis) {};
        out.cancel = [](const request_id&, std::uint64_t) {};
        return out;
    }

    auto measure_each(std::uint64_t count,
                      const std::function<void(std::uint64_t)>& step) -> double
    {
        const auto before = heap_bytes();
        const auto start = clock::now();
        for (std::uint64_t n = 0; n < count; ++n)
        {
            step(n);
        }
        const auto spent = static_cast<double>((clock::now() - start).count);
        const auto each = static_cast<double>(count);
        us_each_ = spent * 1000 / each;
        return static_cast<double>(heap_bytes() - before) / each;
    }

    std::uint64_t token_ = 0;
    double us_each_ = 0;
    byte_buffer answer_;
    request_engine engine_;
};

auto run_requests(const requests_options& options) -> int
{
    counted_engine answers(options);
    const auto answered = answers.answered(options.count);
    const auto counted = static_cast<double>(answers.stored_bytes()) /
                         static_cast<double>(options.count);
    std::printf("kind=answered answer_bytes=%zu heap_bytes_each=%.1f "
                "counted_bytes_each=%.1f us_each=%.2f\n",
                options.answer_bytes, answered, counted, answers.us_each());
    counted_engine refusals(options);
    const auto refused = refusals.refused(options.count);
    std::printf("kind=refused heap_bytes_each=%.1f us_each=%.2f\n", refused,
                refusals.us_each());
    // The bound holds only when no request takes more than is counted.
    const auto good = answered <= counted;
    std::printf("measure=requests value=%.1f target=%.1f verdict=%s\n",
                answered, counted, good ? "pass" : "fail");
    return good ? 0 : 1;
}

} // namespace

auto add_requests(CLI::App& app) -> measure
{
    auto options = std::make_shared<requests_options>();
    auto* command = app.add_subcommand(
        "requests", "Memory and time of the request engine for each request.");
    command->add_option("--count", options->count, "requests");
    command->add_option("--answer", options->answer_bytes, "bytes an answer");
    return {command, [options]
            {
                return run_requests(*options);
            }};
}

} // namespace briardrum::bench
