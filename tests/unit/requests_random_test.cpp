#include "requests/requests.hpp"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace briardrum;

namespace
{

constexpr std::uint32_t slots = 5;

// What the callers and the server observed of one request.
struct observed_request
{
    request_id id;
    bool repeatable = false;
    std::uint32_t executed = 0;
    std::uint32_t told_not_run = 0;
    std::uint32_t answered = 0;
    std::uint32_t told_unknown = 0;
    bool cancelled = false;
};

// A request at the server that is not answered yet.
struct server_run
{
    std::uint64_t token = 0;
    request_id id;
    millis answers_at;
};

// Simulates callers, a request engine and a server that answers late, out of
// order, twice or never, or sheds load. One seed determines the run, which uses
// virtual time.
class random_run
{
public:
    explicit random_run(std::uint64_t seed) : random_(seed), engine_(hooks(), 1)
    {
        service_policy policy;
        policy.queue_limit = 40;
        policy.default_deadline = seconds(3);
        engine_.set_policy(policy);
        engine_.set_slots(slots);
    }

    auto run() -> void
    {
        while (now_ < seconds(60))
        {
            now_ += milliseconds(5);
            change_server_mode();
            send_requests();
            send_copy();
            cancel_one();
            answer_some();
            engine_.tick(now_);
        }
        finish();
    }

private:
    auto hooks() -> request_hooks
    {
        request_hooks out;
        out.dispatch =
            [this](const request_id& id, std::uint64_t token, byte_view)
        {
            on_dispatch(id, token);
        };
        out.answer = [this](const request_id& id, byte_view answer)
        {
            on_answer(id, answer);
        };
        out.refuse = [this](const request_id& id, error_kind kind, millis)
        {
            on_refuse(id, kind);
        };
        out.cancel = [](const request_id&, std::uint64_t) {};
        return out;
    }

    auto on_dispatch(const request_id& id, std::uint64_t token) -> void
    {
        auto& observed = observed_.at(id);
        // A request must not run after its caller was told "not run", an answer
        // or an unknown outcome.
        REQUIRE(observed.told_not_run == 0);
        REQUIRE(observed.answered == 0);
        REQUIRE(observed.told_unknown == 0);
        if (server_mode_ == 2 && random_.chance(0.7))
        {
            sheds_.push_back(token);
            return;
        }
        ++observed.executed;
        REQUIRE((observed.repeatable || observed.executed == 1));
        REQUIRE(observed.executed <= 3);
        // In mode 3 the server never answers.
        const auto unanswered = server_mode_ == 3 || random_.chance(0.01);
        const auto delay = static_cast<std::int64_t>(random_.below(60));
        const auto delay_factor = server_mode_ == 1 ? 40 : 1;
        runs_.push_back({token, id,
                         unanswered
                             ? minutes(60)
                             : now_ + milliseconds(10 + delay * delay_factor)});
    }

    auto on_answer(const request_id& id, byte_view answer) -> void
    {
        auto& observed = observed_.at(id);
        ++observed.answered;
        REQUIRE(answer.size() == sizeof(id.token));
        std::uint64_t token = 0;
        std::copy(answer.begin(), answer.end(),
                  reinterpret_cast<std::uint8_t*>(&token));
        // The answer must be complete and belong to this request.
        REQUIRE(token == id.token);
        REQUIRE(observed.executed > 0);
        REQUIRE(observed.told_not_run == 0);
        REQUIRE(observed.told_unknown == 0);
    }

    auto on_refuse(const request_id& id, error_kind kind) -> void
    {
        auto& observed = observed_.at(id);
        REQUIRE(observed.answered == 0);
        if (error_mapping_for(kind).not_run)
        {
            REQUIRE(observed.executed == 0);
            ++observed.told_not_run;
            return;
        }
        REQUIRE(observed.told_not_run == 0);
        ++observed.told_unknown;
    }

    auto change_server_mode() -> void
    {
        if (random_.chance(0.002))
        {
            server_mode_ = random_.below(4);
        }
        if (random_.chance(0.0005))
        {
            runs_.clear();
            sheds_.clear();
            engine_.on_server_lost(now_);
        }
        if (random_.chance(0.005))
        {
            engine_.on_server_ready(now_);
        }
    }

    auto send_requests() -> void
    {
        const auto count = random_.below(random_.chance(0.05) ? 12 : 2);
        for (std::uint64_t n = 0; n < count; ++n)
        {
            const auto port = static_cast<std::uint16_t>(random_.below(20));
            const auto token = ++last_token_;
            observed_request item;
            item.id = {
                {{1, port}, 1}, token, 8, static_cast<std::uint16_t>(token), 0};
            item.repeatable = random_.chance(0.6);
            observed_.emplace(item.id, item);
            arrive(item);
            sent_ids_.push_back(item.id);
        }
    }

    auto arrive(const observed_request& item) -> arrival_result
    {
        const byte_buffer datagram(20, 1);
        const auto level = static_cast<urgency>(item.id.token % urgency_count);
        const millis time_left{item.id.token % 3 == 0 ? 200 : 0};
        const auto result = engine_.arrive(
            now_, {item.id, datagram, item.repeatable, level, time_left});
        REQUIRE(result != arrival_result::dropped);
        REQUIRE(engine_.limit() >= 1);
        REQUIRE(engine_.limit() <= slots);
        REQUIRE(engine_.running() <= slots);
        REQUIRE(engine_.running() <= engine_.in_progress());
        return result;
    }

    auto send_copy() -> void
    {
        if (sent_ids_.empty() || !random_.chance(0.3))
        {
            return;
        }
        const auto window = std::min<std::uint64_t>(sent_ids_.size(), 300);
        const auto offset = random_.below(window);
        const auto& id = sent_ids_[sent_ids_.size() - 1 - offset];
        const auto result = arrive(observed_.at(id));
        REQUIRE((result == arrival_result::in_progress ||
                 result == arrival_result::repeated));
    }

    auto cancel_one() -> void
    {
        if (sent_ids_.empty() || !random_.chance(0.02))
        {
            return;
        }
        const auto window = std::min<std::uint64_t>(sent_ids_.size(), 10);
        const auto& id =
            sent_ids_[sent_ids_.size() - 1 - random_.below(window)];
        observed_.at(id).cancelled = true;
        engine_.cancel(now_, id);
    }

    auto answer_some() -> void
    {
        const auto shed_tokens = std::exchange(sheds_, {});
        for (const auto token : shed_tokens)
        {
            engine_.on_answer(now_, token, {}, server_verdict::overloaded);
        }
        std::vector<server_run> due;
        std::erase_if(runs_,
                      [&](const server_run& item)
                      {
                          const auto ready = item.answers_at <= now_;
                          if (ready)
                          {
                              due.push_back(item);
                          }
                          return ready;
                      });
        for (auto n = due.size(); n > 0; --n)
        {
            answer(due[n - 1]);
        }
    }

    auto answer(const server_run& item) -> void
    {
        const auto* begin =
            reinterpret_cast<const std::uint8_t*>(&item.id.token);
        const byte_view bytes(begin, sizeof(item.id.token));
        engine_.on_answer(now_, item.token, bytes, server_verdict::answered);
        if (random_.chance(0.1))
        {
            CHECK_FALSE(engine_.on_answer(now_, item.token, bytes,
                                          server_verdict::answered));
        }
    }

    auto finish() -> void
    {
        server_mode_ = 0;
        for (int n = 0; n < 1000; ++n)
        {
            now_ += milliseconds(10);
            answer_some();
            engine_.tick(now_);
        }
        REQUIRE(engine_.in_progress() == 0);
        hand_over();
        for (const auto& [id, observed] : observed_)
        {
            const auto outcomes = observed.answered + observed.told_not_run +
                                  observed.told_unknown;
            REQUIRE((outcomes > 0 || observed.cancelled));
        }
    }

    // Hands all flows over to another engine, where copies must get the stored
    // result and nothing may run.
    auto hand_over() -> void
    {
        request_engine next_engine(hooks(), 2);
        for (std::uint16_t port = 0; port < 20; ++port)
        {
            const flow_key flow{{1, port}, 1};
            next_engine.restore(now_, engine_.extract(now_, flow));
        }
        REQUIRE(engine_.stored_count() == 0);
        for (const auto& [id, observed] : observed_)
        {
            const byte_buffer datagram(20, 1);
            REQUIRE(
                next_engine.arrive(
                    now_,
                    {id, datagram, observed.repeatable, urgency::normal, {}}) ==
                arrival_result::repeated);
        }
        REQUIRE(next_engine.counters().dispatched == 0);
    }

    millis now_;
    random_source random_;
    std::uint64_t last_token_ = 0;
    // 0: healthy, 1: slow, 2: sheds load, 3: never answers.
    std::uint64_t server_mode_ = 0;
    std::map<request_id, observed_request> observed_;
    std::vector<request_id> sent_ids_;
    std::vector<server_run> runs_;
    std::vector<std::uint64_t> sheds_;
    request_engine engine_;
};

} // namespace

TEST_CASE(
    "random load: non-repeatable requests run at most once and callers get "
    "correct results")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        CAPTURE(seed);
        random_run(seed).run();
    }
}
