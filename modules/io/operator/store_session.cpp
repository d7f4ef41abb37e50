#include "io/operator/store_session.hpp"

#include <algorithm>
#include <cstdio>
#include <optional>

namespace briardrum
{

namespace
{

constexpr auto wait_interval = milliseconds(20);
constexpr auto retry_interval = milliseconds(300);
constexpr auto progress_interval = seconds(1);

auto client_settings(const operator_options& options) -> store_client_settings
{
    store_client_settings out;
    out.addresses = options.store_addresses;
    return out;
}

auto may_try_again(const absl::Status& status) -> bool
{
    const auto kind = error_kind_of(status);
    return kind == error_kind::unavailable ||
           kind == error_kind::unknown_outcome;
}

} // namespace

store_session::store_session(const operator_options& options)
    : has_store_(!options.store_addresses.empty()),
      patience_(options.patience), layout_{options.store_root},
      client_(client_settings(options),
              [this](std::function<void()> task)
              {
                  tasks_.post(std::move(task));
              }),
      started_(clock::now()), next_progress_(started_ + progress_interval)
{
}

template <typename Result, typename Call>
auto store_session::ask_once(Call call) -> absl::StatusOr<Result>
{
    const auto answer =
        std::make_shared<std::optional<absl::StatusOr<Result>>>();
    call(
        [answer](const absl::StatusOr<Result>& result)
        {
            *answer = result;
        });
    while (!answer->has_value())
    {
        tasks_.run_one(wait_interval);
        show_progress();
    }
    return **answer;
}

template <typename Result, typename Call>
auto store_session::ask(Call call) -> absl::StatusOr<Result>
{
    if (!has_store_)
    {
        return make_error(error_kind::invalid_argument,
                          "say where the store is by --store or by \"store\" "
                          "in your settings");
    }
    while (true)
    {
        auto answer = ask_once<Result>(call);
        if (answer.ok() || !may_try_again(answer.status()) ||
            clock::now() >= started_ + patience_)
        {
            return answer;
        }
        const auto again = clock::now() + retry_interval;
        while (clock::now() < again)
        {
            tasks_.run_one(wait_interval);
            show_progress();
        }
    }
}

auto store_session::load() -> absl::StatusOr<loaded_configuration>
{
    return ask<loaded_configuration>(
        [this](auto done)
        {
            load_configuration(client_, layout_, done);
        });
}

auto store_session::look_up(const std::string& change_id)
    -> absl::StatusOr<change_status>
{
    return ask<change_status>(
        [&](auto done)
        {
            look_up_change(client_, layout_, change_id, done);
        });
}

auto store_session::range(const store_range& request)
    -> absl::StatusOr<store_range_result>
{
    return ask<store_range_result>(
        [&](auto done)
        {
            client_.range(request, done);
        });
}

auto store_session::history(std::size_t count)
    -> absl::StatusOr<std::vector<history_entry>>
{
    const auto root = range({layout_.key_of(root_key), "", 0, 0});
    if (!root.ok())
    {
        return root.status();
    }
    const auto newest =
        root->values.empty() ? 0 : parse_root_version(root->values[0].value);
    std::vector<history_entry> out;
    const auto oldest = newest > count ? newest - count + 1 : 1;
    for (auto first = oldest; first <= newest;)
    {
        // Up to the end of the slots, where they begin again.
        const auto room = history_slots - first % history_slots;
        const auto last = std::min(newest, first + room - 1);
        const auto part = range({layout_.history_key(first),
                                 layout_.history_key(last) + '\0', 0, 0});
        if (!part.ok())
        {
            return part.status();
        }
        for (const auto& item : part->values)
        {
            auto entry = read_history_entry(item.value);
            if (entry.has_value())
            {
                out.push_back(*std::move(entry));
            }
        }
        first = last + 1;
    }
    std::reverse(out.begin(), out.end());
    return out;
}

auto store_session::commit(const edited_configuration& edited,
                           const std::optional<std::string>& root,
                           const history_entry& entry) -> commit_report
{
    change_committer_settings settings;
    settings.deadline =
        std::max(started_ + patience_ - clock::now(), progress_interval);
    change_committer committer(client_, layout_, settings);
    committer.begin(clock::now(), edited, root, entry);
    while (!committer.report().has_value())
    {
        tasks_.run_one(wait_interval);
        committer.tick(clock::now());
        show_progress();
    }
    return *committer.report();
}

auto store_session::show_progress() -> void
{
    const auto now = clock::now();
    if (now < next_progress_)
    {
        return;
    }
    next_progress_ = now + progress_interval;
    std::fprintf(stderr, "waiting for the store: %lld s of %lld s\n",
                 static_cast<long long>((now - started_).count / 1000),
                 static_cast<long long>(patience_.count / 1000));
}

} // namespace briardrum
