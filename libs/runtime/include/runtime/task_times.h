// Times the tasks that run on a thread, so that a loop that lags can name the task that held it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace burdockdeck::runtime {

struct task_time {
    std::uint64_t runs = 0;
    // Sum over the runs, without the timed tasks inside them.
    duration elapsed{};
    duration longest{};
};

// Times one run of the task `name` on this thread, from construction to destruction. `name` must be
// a literal. Must not live across a suspension point of a coroutine.
class timed_task {
public:
    explicit timed_task(std::string_view name);
    ~timed_task();
    timed_task(const timed_task&) = delete;
    timed_task& operator=(const timed_task&) = delete;

private:
    std::string_view name_;
    time_point started_at_;
    timed_task* outer_;
    duration inner_{};
};

using task_times = std::map<std::string_view, task_time>;

// The tasks timed on this thread since the last call.
[[nodiscard]] task_times take_task_times();
// The task that took longest in sum, for a log line, as "name runs=2 sum_ms=30 longest_ms=20";
// empty if none was timed.
[[nodiscard]] std::string describe_longest(const task_times& times);

}  // namespace burdockdeck::runtime
