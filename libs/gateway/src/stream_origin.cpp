// Asks, in this order: this gateway's own origins, control's list of software versions, the
// sidecars that keep the origin (docs/design/software_versions.md).
#include "stream_origin.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <optional>

#include "answer_cut.h"
#include "base/checksum.h"
#include "core.h"
#include "request_state.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

// An origin is sent to the hosts that come first for its id. More are asked, since the hosts that
// another gateway knew may differ.
constexpr std::size_t holders_told = 3;
constexpr std::size_t holders_asked = 6;
// Limits the time that the loop is held, and the datagrams that arrive at one sidecar together.
constexpr std::size_t max_origins_moved_at_once = 64;
// Time for the answers; datagrams that may be lost are sent again once.
constexpr duration answer_timeout = std::chrono::milliseconds(100);
constexpr int rounds_of_questions = 2;
constexpr duration read_timeout = std::chrono::milliseconds(300);
// The sidecar beside an engine that was withdrawn this long ago may still run.
constexpr duration host_retention = std::chrono::seconds(60);
// A caller without a deadline may take a stream up for this long.
constexpr duration default_patience = std::chrono::minutes(1);
// The caller's time began before the request arrived, and its next attempt arrives later.
constexpr duration patience_margin = std::chrono::seconds(5);

using host_set = std::set<std::string, std::less<>>;

bool is_engine_host(const dispatch::upstream& u, time_point now) {
    return !u.models.empty() && (u.accepting || now - u.withdrawn_at < host_retention);
}

bool is_staying(const dispatch::upstream& u, time_point now) {
    return is_engine_host(u, now) && u.accepting && !u.leaving && u.leaves_at == time_point::max();
}

// True if `holds` is true for an upstream that was announced at `ip`.
template <class Predicate>
bool any_upstream_at(const site_view& v, const std::string& ip, Predicate holds) {
    const auto ids = v.ids_by_ip.find(ip);
    return ids != v.ids_by_ip.end() &&
           std::any_of(ids->second.begin(), ids->second.end(), [&](const std::string& id) {
               const auto found = v.upstreams.find(id);
               return found != v.upstreams.end() && holds(found->second);
           });
}

template <class Predicate>
host_set hosts_where(const site_view& v, Predicate holds) {
    host_set out;
    for (const auto& [ip, ids] : v.ids_by_ip) {
        if (any_upstream_at(v, ip, holds)) {
            out.insert(ip);
        }
    }
    return out;
}

void add_missing(std::vector<std::string>& to, const std::vector<std::string>& hosts,
                 std::size_t max_size) {
    for (const std::string& h : hosts) {
        if (to.size() < max_size && std::find(to.begin(), to.end(), h) == to.end()) {
            to.push_back(h);
        }
    }
}

schema::beacon_subscription make_origin_message(const core& c, const std::string& request,
                                                const resumption::origin& origin, duration ttl) {
    schema::beacon_subscription message;
    message.set_gateway(c.settings.name);
    schema::stream_origin& begun = *message.mutable_begun();
    begun.set_request(request);
    begun.set_service(origin.service);
    begun.set_software_version(origin.software_version);
    begun.set_ttl_ms(
        static_cast<std::uint32_t>(to_milliseconds(std::min(ttl, resumption::max_origin_ttl))));
    return message;
}

void tell_holders(core& c, const std::string& request, const resumption::origin& origin,
                  duration ttl, time_point now) {
    std::vector<std::string> holders =
        resumption::holders_of(request, staying_hosts(c.view, now), holders_told);
    if (holders.size() < holders_told) {
        add_missing(holders,
                    resumption::holders_of(request, origin_hosts(c.view, now), holders_told),
                    holders_told);
    }
    const schema::beacon_subscription message = make_origin_message(c, request, origin, ttl);
    for (const std::string& ip : holders) {
        c.send_to_sidecar(ip, message);
    }
    resumption::record_told(c.origins_told, request, holders, ttl, now);
}

// Tells further hosts of a stream until three that stay were told. False if nobody was told.
bool tell_further_holders(core& c, const std::string& request, const host_set& staying,
                          time_point now) {
    const auto kept = c.origins.by_request.find(request);
    if (kept == c.origins.by_request.end() || kept->second.ambiguous ||
        kept->second.expires_at <= now) {
        return false;
    }
    const host_set& told = c.origins_told.by_request.at(request).hosts;
    std::vector<std::string> further;
    for (const std::string& ip : resumption::holders_of(request, staying, holders_told)) {
        if (told.size() + further.size() < holders_told && !told.contains(ip)) {
            further.push_back(ip);
        }
    }
    const duration ttl = kept->second.expires_at - now;
    const schema::beacon_subscription message =
        make_origin_message(c, request, kept->second.began, ttl);
    for (const std::string& ip : further) {
        c.send_to_sidecar(ip, message);
    }
    resumption::record_told(c.origins_told, request, further, ttl, now);
    return !further.empty();
}

// Hosts that may have been told of the stream.
std::vector<std::string> holders_to_ask(const site_view& v, const std::string& request,
                                        time_point now) {
    std::vector<std::string> out =
        resumption::holders_of(request, origin_hosts(v, now), holders_asked);
    add_missing(out, resumption::holders_of(request, staying_hosts(v, now), holders_told),
                holders_asked + holders_told);
    return out;
}

// What the holders of an origin answered.
struct holders_answer {
    // The first version that one of them named; empty if none did.
    std::string software_version;
    std::vector<std::string> asked;
    // The number of answers in the last round that said that the origin is not kept.
    std::size_t without_it = 0;
};

asio::awaitable<holders_answer> ask_holders(core& c, const request_state& r) {
    if (!c.send_to_sidecar || r.facts.resumes.empty() ||
        r.facts.resumes.size() > resumption::max_request_id_bytes) {
        co_return holders_answer{};
    }
    const std::vector<std::string> holders =
        holders_to_ask(c.view, r.facts.resumes, runtime::boot_now());
    origin_question question(c.traffic.context());
    schema::beacon_subscription message;
    message.set_gateway(c.settings.name);
    message.mutable_question()->set_request(r.facts.resumes);
    message.mutable_question()->set_service(r.service);
    const auto place = c.origin_questions.insert(c.origin_questions.end(), &question);
    for (int round = 0; round < rounds_of_questions && question.software_version.empty(); ++round) {
        // Answers of an earlier round, or to an earlier process at this address, do not count.
        question.number = c.rng();
        message.mutable_question()->set_number(question.number);
        question.unanswered = holders.size();
        for (const std::string& ip : holders) {
            c.send_to_sidecar(ip, message);
        }
        if (holders.empty()) {
            break;
        }
        question.timer.expires_after(answer_timeout);
        (void)co_await question.timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (question.unanswered == 0) {
            break;
        }
    }
    c.origin_questions.erase(place);
    co_return holders_answer{question.software_version, holders,
                             holders.size() - question.unanswered};
}

// The versions at which a stream of the service that had begun before this call may have begun;
// empty if control could not tell.
asio::awaitable<dispatch::software_set> read_versions(core& c, const request_state& r) {
    if (c.leader == nullptr) {
        co_return dispatch::software_set{};
    }
    const std::shared_ptr<rpc::control::Stub> stub = c.leader;
    const auto start = [&stub](auto... arguments) { stub->async()->read_software(arguments...); };
    rpc::read_software_request request;
    auto answer = co_await runtime::call_unary<rpc::read_software_reply>(
        c.traffic.context(), c.access, std::move(request), read_timeout, start);
    if (!succeeded(answer) || !value(answer).confirmed()) {
        co_return dispatch::software_set{};
    }
    apply_software(c.view, value(answer).software());
    const auto& services = value(answer).software().services();
    const auto found = services.find(r.service);
    if (found == services.end()) {
        co_return dispatch::software_set{};
    }
    co_return dispatch::software_set(found->second.versions().begin(),
                                     found->second.versions().end());
}

std::string to_text(const std::vector<std::string>& hosts) {
    std::string out;
    for (const std::string& h : hosts) {
        out += (out.empty() ? "" : ",") + h;
    }
    return out;
}

void log_taken_up(const request_state& r, std::string_view source, time_point began,
                  const holders_answer& answer = {}) {
    log_event(severity::info, event::stream_taken_up,
              {{"request", r.facts.id},
               {"resumes", r.facts.resumes},
               {"service", r.service},
               {"version", r.origin.empty() ? "unknown" : *r.origin.begin()},
               {"source", source},
               {"holders_asked", to_text(answer.asked)},
               {"holders_without_it", answer.without_it},
               {"took_ms", to_milliseconds(runtime::boot_now() - began)}});
}

}  // namespace

bool is_taken_up(const request_state& r) {
    return is_bound_to_version(r) && names_received_events(r);
}

std::set<std::string, std::less<>> origin_hosts(const site_view& v, time_point now) {
    return hosts_where(v, [now](const dispatch::upstream& u) { return is_engine_host(u, now); });
}

std::set<std::string, std::less<>> staying_hosts(const site_view& v, time_point now) {
    return hosts_where(v, [now](const dispatch::upstream& u) { return is_staying(u, now); });
}

double draw_for(core& c, const request_state& r) {
    const std::string& id = r.facts.resumes.empty() ? r.facts.id : r.facts.resumes;
    if (id.empty()) {
        return std::uniform_real_distribution<double>(0, 1)(c.rng);
    }
    constexpr int mantissa_bits = 53;
    return std::ldexp(static_cast<double>(checksum_of(id) >> (64 - mantissa_bits)), -mantissa_bits);
}

void bind_to_first_event(core& c, request_state& r, const std::string& software_version,
                         time_point now) {
    r.origin = {software_version};
    const duration patience = r.facts.deadline.value_or(default_patience) + patience_margin;
    resumption::record_origin(c.origins, r.facts.id, {r.service, software_version}, patience, now);
    if (!c.send_to_sidecar || r.facts.id.empty() ||
        r.facts.id.size() > resumption::max_request_id_bytes) {
        return;
    }
    tell_holders(c, r.facts.id, {r.service, software_version}, patience, now);
}

bool bind_if_sound(core& c, request_state& r, const dispatch::upstream* from, time_point now) {
    const bool restarted = from == nullptr || from->born_ms != r.sent_to_born_ms;
    if (restarted || !may_stream_from(c, r, r.sent_to_software)) {
        r.last_failure =
            restarted ? "the upstream has started again during the attempt"
                      : "software version " + r.sent_to_software + " may not go on with the stream";
        record_ending(r, cut_cause::answer_invalid, r.last_failure, now);
        return false;
    }
    if (r.origin.empty()) {
        bind_to_first_event(c, r, r.sent_to_software, now);
    }
    return true;
}

asio::awaitable<bool> bind_to_origin(core& c, request_state& r) {
    const time_point began = runtime::boot_now();
    const auto own = resumption::find_origin(c.origins, r.facts.resumes, began);
    if (own && own->service == r.service) {
        r.origin = {own->software_version};
        log_taken_up(r, "own", began);
        co_return true;
    }
    // A version is never added to the list after a stream has begun there, so a single one in a
    // list that is read now is that of each stream that has begun.
    if (recorded_versions(c.view, r.service).size() <= 1) {
        const dispatch::software_set versions = co_await read_versions(c, r);
        if (versions.size() == 1) {
            r.origin = versions;
            log_taken_up(r, "control", began);
            co_return true;
        }
    }
    const holders_answer answer = co_await ask_holders(c, r);
    const bool found = !answer.software_version.empty();
    if (found) {
        r.origin = {answer.software_version};
    }
    log_taken_up(r, found ? "sidecar" : "none", began, answer);
    co_return found;
}

void move_origins(core& c, time_point now) {
    host_set leaving;
    for (const auto& [ip, told] : c.origins_told.by_host) {
        if (!any_upstream_at(c.view, ip,
                             [now](const dispatch::upstream& u) { return is_staying(u, now); })) {
            leaving.insert(ip);
        }
    }
    const host_set staying = leaving.empty() ? host_set{} : staying_hosts(c.view, now);
    if (staying.empty() || !c.send_to_sidecar) {
        return;
    }
    std::size_t taken = 0;
    for (const std::string& ip : leaving) {
        for (const std::string& request :
             resumption::take_told(c.origins_told, ip, max_origins_moved_at_once - taken)) {
            ++taken;
            if (tell_further_holders(c, request, staying, now)) {
                c.metrics.count("burdockdeck_stream_origins_moved_total");
            }
        }
    }
}

void record_origin_answer(core& c, const schema::stream_answer& a) {
    for (origin_question* q : c.origin_questions) {
        if (q->number != a.number()) {
            continue;
        }
        q->unanswered -= q->unanswered > 0 ? 1 : 0;
        if (q->software_version.empty()) {
            q->software_version = a.software_version();
        }
        if (q->unanswered == 0 || !q->software_version.empty()) {
            q->timer.cancel();
        }
    }
}

}  // namespace burdockdeck::gateway
