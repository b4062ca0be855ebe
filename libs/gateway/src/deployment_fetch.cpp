// Ranks instances by failures and reported versions; applies patches to the latest text.
#include "deployment_fetch.h"

#include <algorithm>

#include "patch/patch.h"

namespace burdockdeck::gateway {

namespace {

time_point failed_at(const fetch_state& s, const std::string& address) {
    const auto found = s.failed_at.find(address);
    return found == s.failed_at.end() ? time_point{} : found->second;
}

bool may_fetch_from(const fetch_state& s, const std::string& address, time_point now) {
    const auto found = s.failed_at.find(address);
    return found == s.failed_at.end() || now - found->second >= fetch_retry_delay;
}

// Higher is better: the earlier failure first, then the newer version.
std::pair<duration, std::uint64_t> rank(const fetch_state& s, const reported_version& t) {
    return {-failed_at(s, t.address).time_since_epoch(), t.version};
}

}  // namespace

std::optional<std::string> begin_fetch(fetch_state& s,
                                       const std::vector<reported_version>& reported,
                                       std::uint64_t wanted, time_point now, std::mt19937_64& rng) {
    if (s.under_way) {
        return std::nullopt;
    }
    std::vector<const reported_version*> best;
    for (const reported_version& t : reported) {
        if (t.version < wanted || !may_fetch_from(s, t.address, now)) {
            continue;
        }
        if (!best.empty() && rank(s, t) > rank(s, *best.front())) {
            best.clear();
        }
        if (best.empty() || rank(s, t) == rank(s, *best.front())) {
            best.push_back(&t);
        }
    }
    if (best.empty()) {
        return std::nullopt;
    }
    s.under_way = true;
    std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
    return best[pick(rng)]->address;
}

void end_fetch(fetch_state& s, const std::string& address, fetch_outcome outcome, time_point now) {
    s.under_way = false;
    s.full_text_next = outcome == fetch_outcome::bad_patch;
    if (outcome == fetch_outcome::applied || outcome == fetch_outcome::confirmed) {
        s.timeout = initial_fetch_timeout;
        s.failed_at.erase(address);
        return;
    }
    // A single missing reply may mean that the instance is down; a repeated one suggests that the
    // reply takes longer than the time-out.
    if (outcome == fetch_outcome::no_reply && s.failed_at.contains(address)) {
        s.timeout = std::min(2 * s.timeout, max_fetch_timeout);
    }
    s.failed_at[address] = now;
}

result<bool, fetch_error> apply_reply(deployment_text& t,
                                      const rpc::fetch_deployment_reply& reply) {
    if (reply.version() <= t.version) {
        return false;
    }
    if (reply.base_version() != 0 && reply.base_version() != t.version) {
        return fetch_error{"the patch does not apply to the text held here; it needs version " +
                           std::to_string(reply.base_version())};
    }
    const std::string_view base = reply.base_version() == 0 ? std::string_view() : t.text;
    auto text = patch::apply(base, reply.patch());
    if (!succeeded(text)) {
        return fetch_error{error(text).message};
    }
    t = {reply.version(), std::move(value(text))};
    return true;
}

}  // namespace burdockdeck::gateway
