// Limits the bytes of answers that a gateway holds in memory at once, so that upstreams that send
// without end, and callers that read slowly, cannot exhaust it. Used on the traffic loop.
#pragma once

#include <cstddef>
#include <functional>
#include <list>

namespace burdockdeck::gateway {

class answer_hold;

// Invariant: `held` is the sum over `holds`.
struct answer_memory {
    std::size_t limit = 64 * 1024 * 1024;
    std::size_t held = 0;
    std::list<answer_hold*> holds;
};

// Holds up to this size are never dropped, so that ordinary answers are not affected.
inline constexpr std::size_t min_dropped_bytes = 64 * 1024;

// The bytes held for the answer to one request.
class answer_hold {
public:
    // `drop` closes the connections that the bytes came from or go to; it is called at most once.
    answer_hold(answer_memory& memory, std::function<void()> drop);
    ~answer_hold();
    answer_hold(const answer_hold&) = delete;
    answer_hold& operator=(const answer_hold&) = delete;

    // Sets the number of bytes held, which is the capacity of the buffers and not what they
    // contain. While the limit is exceeded, the largest answers are dropped.
    void resize(std::size_t bytes);
    // True once this answer was dropped.
    [[nodiscard]] bool dropped() const;

private:
    answer_memory& memory_;
    std::function<void()> drop_;
    std::size_t bytes_ = 0;
    bool dropped_ = false;
    std::list<answer_hold*>::iterator place_;
};

}  // namespace burdockdeck::gateway
