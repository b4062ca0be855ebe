// Lists of prompt parts and their order in a crash record.
#include "part_lists.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "base/checksum.h"

namespace burdockdeck::quarantine {

namespace {

// Pseudo-random rank of a list among those of one crash, equal in all processes.
std::uint64_t rank_of(const incarnation& engine, const part_list& parts) {
    running_checksum sum;
    sum.update(engine.upstream);
    sum.update(std::to_string(engine.born_ms));
    for (const part_id p : parts) {
        sum.update("/");
        sum.update(std::to_string(p));
    }
    return sum.value();
}

}  // namespace

bool includes(const part_list& all, const part_list& wanted) {
    return std::includes(all.begin(), all.end(), wanted.begin(), wanted.end());
}

part_list common_parts(const part_list& a, const part_list& b) {
    part_list out;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(out));
    return out;
}

part_list normalized(part_list parts) {
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    parts.resize(std::min(parts.size(), max_parts));
    return parts;
}

part_list parts_of(const crash_record& r) {
    part_list all;
    for (const part_list& parts : r.unanswered) {
        all.insert(all.end(), parts.begin(), parts.end());
    }
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

bool add_list(crash_record& r, const part_list& parts) {
    if (parts.empty()) {
        return false;
    }
    const auto at = std::lower_bound(r.unanswered.begin(), r.unanswered.end(), parts);
    if (at != r.unanswered.end() && *at == parts) {
        return false;
    }
    r.unanswered.insert(at, parts);
    if (r.unanswered.size() <= max_lists) {
        return true;
    }
    const auto last = std::max_element(r.unanswered.begin(), r.unanswered.end(),
                                       [&](const part_list& a, const part_list& b) {
                                           return rank_of(r.engine, a) < rank_of(r.engine, b);
                                       });
    const bool changed = *last != parts;
    r.unanswered.erase(last);
    return changed;
}

}  // namespace burdockdeck::quarantine
