#ifndef BRIARDRUM_IO_OPERATOR_STORE_SESSION_HPP
#define BRIARDRUM_IO_OPERATOR_STORE_SESSION_HPP

#include "io/operator/operator_options.hpp"
#include "io/store/store_client.hpp"
#include "io/threads/task_queue.hpp"
#include "node/store/change_committer.hpp"
#include "node/store/configuration_load.hpp"

#include <vector>

namespace briardrum
{

// One command's talk with the store: each call waits for its answer, tries
// again within the command's patience, and says on standard error that it is
// waiting.
class store_session
{
public:
    explicit store_session(const operator_options& options);

    // error_kind::unavailable when the store does not answer in time.
    auto load() -> absl::StatusOr<loaded_configuration>;

    auto look_up(const std::string& change_id) -> absl::StatusOr<change_status>;

    // The last changes, newest first.
    auto history(std::size_t count)
        -> absl::StatusOr<std::vector<history_entry>>;

    auto commit(const edited_configuration& edited,
                const std::optional<std::string>& root,
                const history_entry& entry) -> commit_report;

private:
    template <typename Result, typename Call>
    auto ask(Call call) -> absl::StatusOr<Result>;
    template <typename Result, typename Call>
    auto ask_once(Call call) -> absl::StatusOr<Result>;
    auto range(const store_range& request)
        -> absl::StatusOr<store_range_result>;
    auto show_progress() -> void;

    bool has_store_;
    millis patience_;
    store_layout layout_;
    task_queue tasks_;
    store_client client_;
    millis started_;
    millis next_progress_;
};

} // namespace briardrum

#endif
