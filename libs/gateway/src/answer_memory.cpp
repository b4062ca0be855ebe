// Keeps the sum of the answers held below the limit.
#include "answer_memory.h"

#include <algorithm>
#include <utility>

namespace burdockdeck::gateway {

answer_hold::answer_hold(answer_memory& memory, std::function<void()> drop)
    : memory_(memory),
      drop_(std::move(drop)),
      place_(memory.holds.insert(memory.holds.end(), this)) {}

answer_hold::~answer_hold() {
    memory_.held -= bytes_;
    memory_.holds.erase(place_);
}

void answer_hold::resize(std::size_t bytes) {
    if (dropped_) {
        return;
    }
    memory_.held += bytes - bytes_;
    bytes_ = bytes;
    while (memory_.held > memory_.limit) {
        const auto is_smaller = [](const answer_hold* a, const answer_hold* b) {
            return (a->dropped_ ? 0 : a->bytes_) < (b->dropped_ ? 0 : b->bytes_);
        };
        answer_hold& largest =
            **std::max_element(memory_.holds.begin(), memory_.holds.end(), is_smaller);
        if (largest.dropped_ || largest.bytes_ <= min_dropped_bytes) {
            return;
        }
        largest.dropped_ = true;
        memory_.held -= std::exchange(largest.bytes_, 0);
        largest.drop_();
    }
}

bool answer_hold::dropped() const {
    return dropped_;
}

}  // namespace burdockdeck::gateway
