#include "io/store/store_client.hpp"

#include "io/store/etcd_json.hpp"
#include "io/store/store_calls.hpp"
#include "io/store/store_watch_stream.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <utility>

namespace briardrum
{

struct store_client::state
{
    using post_hook = std::function<void(std::function<void()>)>;

    state(store_client_settings given, post_hook given_post)
        : settings(std::move(given)), post(std::move(given_post)),
          calls(settings)
    {
    }

    store_client_settings settings;
    post_hook post;
    // Callbacks already posted when the client ends are not run.
    std::shared_ptr<std::atomic<bool>> alive =
        std::make_shared<std::atomic<bool>>(true);
    std::atomic<std::uint64_t> ranges = 0;
    std::atomic<std::uint64_t> commits = 0;
    std::atomic<std::uint64_t> leases = 0;
    std::atomic<std::uint64_t> watches_opened = 0;
    std::atomic<std::uint64_t> failures = 0;
    watch_id last_watch = 0;
    struct open_watch
    {
        std::unique_ptr<store_watch_stream> stream;
        // False once cancelled: batches already posted are dropped.
        std::shared_ptr<bool> wanted;
    };

    std::map<watch_id, open_watch> watches;
    // Stopped, and removed when their threads are over.
    std::vector<std::unique_ptr<store_watch_stream>> stopped;
    store_calls calls;

    template <typename Result>
    auto hand_over(store_callback<Result> done, absl::StatusOr<Result> result)
        -> void
    {
        if (!result.ok())
        {
            ++failures;
        }
        post(
            [is_alive = alive, done = std::move(done),
             result = std::move(result)]
            {
                if (*is_alive)
                {
                    done(result);
                }
            });
    }

    // Puts a call in line; its answer is read and handed to done.
    template <typename Result, typename Reader>
    auto call(const char* path, const nlohmann::json& body, bool is_write,
              Reader reader, store_callback<Result> done) -> void
    {
        const auto added = calls.add(
            {path, body.dump(), is_write,
             [this, reader, done](const absl::StatusOr<std::string>& answer)
             {
                 if (answer.ok())
                 {
                     hand_over<Result>(done, reader(*answer));
                 }
                 else
                 {
                     hand_over<Result>(done, answer.status());
                 }
             }});
        if (!added)
        {
            hand_over<Result>(done,
                              make_error(error_kind::unavailable,
                                         "too many calls wait for the store"));
        }
    }

    auto remove_stopped() -> void
    {
        std::erase_if(stopped,
                      [](const auto& item)
                      {
                          return item->is_over();
                      });
    }
};

store_client::store_client(store_client_settings settings,
                           std::function<void(std::function<void()>)> post)
    : state_(std::make_unique<state>(std::move(settings), std::move(post)))
{
}

store_client::~store_client()
{
    *state_->alive = false;
}

auto store_client::range(const store_range& request,
                         store_callback<store_range_result> done) -> void
{
    ++state_->ranges;
    state_->call<store_range_result>("/v3/kv/range", write_range(request),
                                     false, read_range_result, std::move(done));
}

auto store_client::commit(const store_transaction& request,
                          store_callback<store_commit_result> done) -> void
{
    ++state_->commits;
    state_->call<store_commit_result>("/v3/kv/txn", write_transaction(request),
                                      true, read_commit_result,
                                      std::move(done));
}

auto store_client::grant_lease(millis span, store_callback<store_lease> done)
    -> void
{
    ++state_->leases;
    state_->call<store_lease>("/v3/lease/grant", write_lease_grant(span), false,
                              read_lease, std::move(done));
}

auto store_client::keep_alive(lease_id id, store_callback<store_lease> done)
    -> void
{
    ++state_->leases;
    state_->call<store_lease>("/v3/lease/keepalive", write_keep_alive(id),
                              false, read_lease, std::move(done));
}

auto store_client::watch(const store_watch& request,
                         store_callback<store_watch_batch> next) -> watch_id
{
    ++state_->watches_opened;
    state_->remove_stopped();
    const auto& addresses = state_->settings.addresses;
    const auto id = ++state_->last_watch;
    // Each watch tries the next address, so that one that is gone is passed.
    const auto& address = addresses.at(id % addresses.size());
    const auto wanted = std::make_shared<bool>(true);
    const auto guarded = [wanted, next = std::move(next)](
                             const absl::StatusOr<store_watch_batch>& batch)
    {
        if (*wanted)
        {
            next(batch);
        }
    };
    auto stream = std::make_unique<store_watch_stream>(
        state_->settings, address, write_watch(request).dump(),
        [own = state_.get(),
         guarded](const absl::StatusOr<store_watch_batch>& batch)
        {
            own->hand_over<store_watch_batch>(guarded, batch);
        });
    state_->watches[id] = {std::move(stream), wanted};
    return id;
}

auto store_client::cancel_watch(watch_id id) -> void
{
    const auto it = state_->watches.find(id);
    if (it == state_->watches.end())
    {
        return;
    }
    *it->second.wanted = false;
    it->second.stream->stop();
    state_->stopped.push_back(std::move(it->second.stream));
    state_->watches.erase(it);
}

auto store_client::counts() const -> store_call_counts
{
    return {state_->ranges, state_->commits, state_->leases,
            state_->watches_opened, state_->failures};
}

} // namespace briardrum
