#ifndef BRIARDRUM_TESTS_SUPPORT_TASK_QUEUE_HPP
#define BRIARDRUM_TESTS_SUPPORT_TASK_QUEUE_HPP

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace briardrum::tests
{

// Takes tasks from other threads and runs them on the test's.
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

    // Runs tasks, waiting for them, until the condition holds.
    template <typename Condition>
    auto run_until(Condition condition) -> void
    {
        while (!condition())
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock,
                       [this]
                       {
                           return !tasks_.empty();
                       });
            const auto task = std::move(tasks_.front());
            tasks_.pop_front();
            lock.unlock();
            task();
        }
    }

private:
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> tasks_;
};

} // namespace briardrum::tests

#endif
