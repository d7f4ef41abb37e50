#ifndef BRIARDRUM_TESTS_UNIT_REQUESTS_FIXTURE_HPP
#define BRIARDRUM_TESTS_UNIT_REQUESTS_FIXTURE_HPP

#include "requests/requests.hpp"

#include <map>
#include <vector>

namespace briardrum::tests
{

// A request engine whose hooks record their calls.
class requests_fixture
{
public:
    struct dispatched
    {
        request_id id;
        std::uint64_t token;
    };

    struct refusal
    {
        request_id id;
        error_kind kind;
        millis retry_after;
    };

    explicit requests_fixture(request_bounds bounds = {})
        : engine(make_hooks(), 1, bounds)
    {
        engine.set_slots(slots);
        // Completes the slow start, so that `slots` requests may run at once.
        for (std::uint16_t n = 0; n < slots; ++n)
        {
            arrive(caller_max, n, true);
            answer_last();
        }
        clear();
    }

    static auto id_of(std::uint16_t caller, std::uint16_t message) -> request_id
    {
        return {{{0x0a000001, caller}, 1}, message, 2, message, 0};
    }

    auto arrive(std::uint16_t caller, std::uint16_t message, bool repeatable,
                millis time_left = {}, urgency level = urgency::normal)
        -> arrival_result
    {
        const byte_buffer datagram{1, 2, 3};
        return engine.arrive(now, {id_of(caller, message), datagram, repeatable,
                                   level, time_left});
    }

    auto answer(std::uint64_t token,
                server_verdict verdict = server_verdict::answered) -> bool
    {
        const byte_buffer datagram{9, static_cast<std::uint8_t>(token)};
        return engine.on_answer(now, token, datagram, verdict);
    }

    auto answer_last() -> bool
    {
        return answer(dispatches.back().token);
    }

    auto advance(millis span) -> void
    {
        const auto end = now + span;
        while (now < end)
        {
            now += std::min(milliseconds(10), end - now);
            engine.tick(now);
        }
    }

    // Fills every slot with a non-repeatable request that is not answered.
    auto fill_slots() -> void
    {
        for (std::uint16_t n = 0; n < slots; ++n)
        {
            arrive(busy_caller, n, false, minutes(3));
        }
    }

    auto clear() -> void
    {
        dispatches.clear();
        answers.clear();
        refusals.clear();
        cancels.clear();
        outcomes.clear();
    }

    static constexpr std::uint16_t slots = 3;
    static constexpr std::uint16_t caller_max = 60000;
    static constexpr std::uint16_t busy_caller = 50000;

    millis now = seconds(1);
    std::vector<dispatched> dispatches;
    std::vector<request_id> answers;
    std::vector<refusal> refusals;
    std::vector<request_id> cancels;
    std::vector<request_outcome> outcomes;
    request_engine engine;

private:
    auto make_hooks() -> request_hooks
    {
        request_hooks hooks;
        hooks.dispatch =
            [this](const request_id& id, std::uint64_t token, byte_view)
        {
            dispatches.push_back({id, token});
        };
        hooks.answer = [this](const request_id& id, byte_view)
        {
            answers.push_back(id);
        };
        hooks.refuse =
            [this](const request_id& id, error_kind kind, millis retry_after)
        {
            refusals.push_back({id, kind, retry_after});
        };
        hooks.cancel = [this](const request_id& id, std::uint64_t)
        {
            cancels.push_back(id);
        };
        hooks.finished = [this](const request_outcome& outcome)
        {
            outcomes.push_back(outcome);
        };
        return hooks;
    }
};

} // namespace briardrum::tests

#endif
