#ifndef BRIARDRUM_STAND_INS_STORE_VIRTUAL_STORE_HPP
#define BRIARDRUM_STAND_INS_STORE_VIRTUAL_STORE_HPP

#include "node/store/store.hpp"
#include "stand_ins/store/memory_store.hpp"

#include <functional>
#include <map>

namespace briardrum::stand_in
{

// One process's way to a store, on virtual time, with the faults that the
// way and the store may have. Several may share one memory_store.
class virtual_store : public store
{
public:
    explicit virtual_store(memory_store& data);

    bool down = false;
    bool silent_watches = false;
    bool repeat_events = false;
    // Answers of this many commits are lost after they took effect.
    int lose_answers = 0;
    // Commits of this many are lost before they took effect.
    int lose_commits = 0;
    // Answers come this much later; a call is given up after timeout.
    millis delay = milliseconds(2);
    millis timeout = seconds(3);
    millis event_delay;
    // Watches poll: each is answered after this time even without events, and
    // one beyond the store's newest revision is answered as compacted. 0 for
    // watches that stream events and wait for revisions still to come.
    millis poll_interval;
    std::uint64_t calls = 0;
    std::uint64_t ranges = 0;

    // Open watches end with an error, as when their connections went silent.
    auto end_watches() -> void;

    // Runs what is due.
    auto run(millis now) -> void;

    auto range(const store_range& request,
               store_callback<store_range_result> done) -> void override;
    auto commit(const store_transaction& request,
                store_callback<store_commit_result> done) -> void override;
    auto grant_lease(millis span, store_callback<store_lease> done)
        -> void override;
    auto keep_alive(lease_id id, store_callback<store_lease> done)
        -> void override;
    auto watch(const store_watch& request,
               store_callback<store_watch_batch> next) -> watch_id override;
    auto cancel_watch(watch_id id) -> void override;

private:
    struct open_watch
    {
        store_watch request;
        store_callback<store_watch_batch> next;
        millis answered_at;
    };

    // Carries out a call now and answers later, as the faults have it.
    template <typename Result>
    auto call(const std::function<Result()>& carry_out,
              store_callback<Result> done) -> void;
    auto later(millis after, std::function<void()> task) -> void;
    auto tell_events() -> void;
    auto collect_events(const open_watch& item) const -> store_watch_batch;

    memory_store& data_;
    millis now_;
    std::multimap<millis, std::function<void()>> tasks_;
    std::map<watch_id, open_watch> watches_;
    watch_id last_watch_ = 0;
};

} // namespace briardrum::stand_in

#endif
