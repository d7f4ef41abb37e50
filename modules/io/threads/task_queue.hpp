#ifndef BRIARDRUM_IO_THREADS_TASK_QUEUE_HPP
#define BRIARDRUM_IO_THREADS_TASK_QUEUE_HPP

#include "core/core.hpp"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace briardrum
{

// Takes tasks from other threads and runs them on the thread that owns it,
// for programs that have no event loop.
class task_queue
{
public:
    auto post(std::function<void()> task) -> void
    {
        {
            const std::lock_guard lock(mutex_);
            tasks_.push_back(std::move(task));
        }
        wake_.notify_one();
    }

    // Runs the next task, waiting for it at most this long.
    auto run_one(millis wait) -> void
    {
        std::unique_lock lock(mutex_);
        const auto has_task =
            wake_.wait_for(lock, std::chrono::milliseconds(wait.count),
                           [this]
                           {
                               return !tasks_.empty();
                           });
        if (!has_task)
        {
            return;
        }
        const auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
    }

private:
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> tasks_;
};

} // namespace briardrum

#endif
