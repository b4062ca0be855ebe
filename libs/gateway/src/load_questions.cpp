// Selects the engines to ask, and waits for their answers.
#include "load_questions.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

#include "core.h"
#include "request_state.h"
#include "runtime/clock.h"

namespace burdockdeck::gateway {

namespace {

// A load of this age is used without a question.
constexpr duration max_load_age = std::chrono::milliseconds(30);
// Longest wait for the answers: two ways between failure domains, and the sidecar's own call.
constexpr duration max_answer_wait = std::chrono::milliseconds(10);
// More answers would hardly improve the choice.
constexpr std::size_t max_engines_asked = 8;

std::shared_ptr<load_question> send_questions(core& c, const std::vector<std::string>& ids,
                                              time_point now) {
    auto question = std::make_shared<load_question>(c.traffic.context(), max_answer_wait);
    for (const std::string& id : ids) {
        dispatch::upstream& u = c.view.upstreams.at(id);
        dispatch::record_load_asked(u, now);
        c.ask_for_load(u.address, true);
        question->unanswered.insert(id);
    }
    return question;
}

}  // namespace

std::vector<std::string> engines_to_ask(const std::vector<dispatch::upstream*>& all,
                                        const dispatch::request_view& v, time_point now) {
    std::vector<const dispatch::upstream*> candidates;
    for (const dispatch::upstream* u : all) {
        if (dispatch::obstacle_to(*u, v, now) == dispatch::obstacle::none) {
            candidates.push_back(u);
        }
    }
    // Engines with cached parts of the prompt come first, then those with the longest time since
    // their last answer, so that each gateway looks at all of them in turn.
    if (candidates.size() > max_engines_asked) {
        std::map<const dispatch::upstream*, std::uint32_t> unread;
        for (const dispatch::upstream* u : candidates) {
            unread[u] = dispatch::tokens_to_read(*u, *v.needs);
        }
        std::sort(candidates.begin(), candidates.end(), [&](const auto* a, const auto* b) {
            return std::pair(unread[a], a->load.at) < std::pair(unread[b], b->load.at);
        });
        candidates.resize(max_engines_asked);
    }
    std::vector<std::string> out;
    for (const dispatch::upstream* u : candidates) {
        if (now - u->load.at > max_load_age) {
            out.push_back(u->id);
        }
    }
    return out;
}

boost::asio::awaitable<void> ask_for_loads(core& c, const request_state& r) {
    if (r.facts.needs.model.empty() || !c.ask_for_load) {
        co_return;
    }
    const time_point now = runtime::boot_now();
    const std::vector<std::string> ids =
        engines_to_ask(upstreams_of(c.view, r.service), make_request_view(c, r), now);
    if (ids.empty()) {
        co_return;
    }
    const std::shared_ptr<load_question> question = send_questions(c, ids, now);
    const auto place = c.load_questions.insert(c.load_questions.end(), question.get());
    (void)co_await question->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    c.load_questions.erase(place);
}

void record_load_answer(core& c, const std::string& upstream) {
    for (load_question* q : c.load_questions) {
        if (q->unanswered.erase(upstream) > 0 && q->unanswered.empty()) {
            q->timer.cancel();
        }
    }
}

}  // namespace burdockdeck::gateway
