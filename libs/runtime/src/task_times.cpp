// Keeps the times in thread-local state: each loop has one thread.
#include "runtime/task_times.h"

#include <algorithm>
#include <utility>

#include "runtime/clock.h"

namespace burdockdeck::runtime {

namespace {

thread_local task_times times_of_thread;
thread_local timed_task* innermost = nullptr;

}  // namespace

timed_task::timed_task(std::string_view name)
    : name_(name), started_at_(boot_now()), outer_(std::exchange(innermost, this)) {}

timed_task::~timed_task() {
    const duration elapsed = boot_now() - started_at_;
    innermost = outer_;
    if (outer_ != nullptr) {
        outer_->inner_ += elapsed;
    }
    task_time& t = times_of_thread[name_];
    const duration own = elapsed - inner_;
    ++t.runs;
    t.elapsed += own;
    t.longest = std::max(t.longest, own);
}

task_times take_task_times() {
    return std::exchange(times_of_thread, {});
}

std::string describe_longest(const task_times& times) {
    const auto longest = std::max_element(
        times.begin(), times.end(),
        [](const auto& a, const auto& b) { return a.second.elapsed < b.second.elapsed; });
    if (longest == times.end()) {
        return "";
    }
    const auto& [name, t] = *longest;
    return std::string(name) + " runs=" + std::to_string(t.runs) +
           " sum_ms=" + std::to_string(to_milliseconds(t.elapsed)) +
           " longest_ms=" + std::to_string(to_milliseconds(t.longest));
}

}  // namespace burdockdeck::runtime
