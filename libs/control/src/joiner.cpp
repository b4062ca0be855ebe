// Automatic membership: founding from seeds, joining, and replacement of lost and departing voters.
#include <algorithm>

#include "base/checksum.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "site.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration join_interval = std::chrono::milliseconds(200);
constexpr duration join_timeout = std::chrono::milliseconds(600);
// A member without contact to a leader for this long requests to join again, in case it was
// removed.
constexpr duration rejoin_after = std::chrono::milliseconds(1500);
// Interval at which a departing voter asks the leader whether it may stop.
constexpr duration leave_interval = std::chrono::milliseconds(50);
constexpr duration leave_timeout = std::chrono::milliseconds(300);
// A learner that has been silent for this long is removed.
constexpr duration learner_timeout = std::chrono::seconds(10);
// A learner becomes a voter only if it has sent a message within this time.
constexpr duration learner_max_silence = std::chrono::milliseconds(500);

// Derived from the settings alone, so that all founders compute the same ids.
consensus::node_id founder_id(const std::string& address) {
    return checksum_of("founder " + address) | 1U;
}

std::string cluster_of(const instance& i) {
    std::set<std::string> addresses;
    for (const settings::endpoint& seed : i.settings.site->seeds) {
        addresses.insert(to_text(seed));
    }
    std::string all;
    for (const std::string& a : addresses) {
        all += a + " ";
    }
    return digest_of(all);
}

void found_if_seed(instance& i) {
    const site_settings& site = *i.settings.site;
    if (!site.founding || !i.raft->identity().cluster().empty()) {
        return;
    }
    schema::configuration members;
    const std::string self = to_text(i.settings.advertise);
    bool is_seed = false;
    for (const settings::endpoint& seed : site.seeds) {
        const std::string address = rpc_address(i, seed);
        schema::control_member& m = *members.add_voters();
        m.set_id(founder_id(address));
        m.set_address(address);
        m.set_name(address);
        is_seed = is_seed || address == self;
    }
    if (!is_seed) {
        return;
    }
    const auto founded = i.raft->found_from_seeds(cluster_of(i), members, founder_id(self));
    if (!succeeded(founded)) {
        log_event(severity::error, event::storage_failed, {{"reason", error(founded)}});
    }
}

schema::control_member self_of(const instance& i) {
    schema::control_member m;
    m.set_id(i.raft->identity().node_id());
    m.set_name(i.settings.name);
    m.set_address(to_text(i.settings.advertise));
    m.set_failure_domain(i.settings.failure_domain);
    return m;
}

// Addresses of possible members: seeds, members in the local configuration, and members reported by
// other instances.
std::vector<std::string> candidates(const instance& i, const std::set<std::string>& reported) {
    std::set<std::string> all = reported;
    for (const settings::endpoint& seed : i.site->seeds) {
        all.insert(rpc_address(i, seed));
    }
    for (const std::string& address : i.raft->member_addresses()) {
        all.insert(address);
    }
    all.erase(to_text(i.settings.advertise));
    return {all.begin(), all.end()};
}

bool needs_to_join(const instance& i, time_point out_of_contact_since, time_point now) {
    if (i.raft->identity().node_id() == 0) {
        return false;
    }
    return i.raft->node() == nullptr || now - out_of_contact_since > rejoin_after;
}

boost::asio::awaitable<void> send_join_request(instance& i, std::string address,
                                               std::shared_ptr<std::set<std::string>> reported) {
    const std::shared_ptr<rpc::control_peer::Stub> stub = peer_stub(i, address);
    const auto start = [&stub](auto... arguments) { stub->async()->join(arguments...); };
    rpc::join_request request;
    *request.mutable_member() = self_of(i);
    auto answer = co_await runtime::call_unary<rpc::join_reply>(
        i.loop.context(), i.access, std::move(request), join_timeout, start);
    if (!succeeded(answer)) {
        i.site->peers[address].stub.reset();
        co_return;
    }
    reported->insert(value(answer).addresses().begin(), value(answer).addresses().end());
}

boost::asio::awaitable<void> maintain_membership(instance& i) {
    auto reported = std::make_shared<std::set<std::string>>();
    time_point out_of_contact_since = runtime::boot_now();
    bool join_was_needed = false;
    while (!i.stopping) {
        const time_point now = runtime::boot_now();
        if (!i.raft->isolated()) {
            out_of_contact_since = now;
        }
        const bool join_needed = needs_to_join(i, out_of_contact_since, now);
        if (join_needed) {
            for (const std::string& address : candidates(i, *reported)) {
                runtime::spawn(i.loop, [&i, address, reported] {
                    return send_join_request(i, address, reported);
                });
            }
        }
        if (join_needed != join_was_needed) {
            join_was_needed = join_needed;
            log_event(severity::info, event::join_asked, {{"asking", join_needed ? "yes" : "no"}});
        }
        co_await runtime::sleep_for(join_interval);
    }
}

boost::asio::awaitable<bool> ask_to_leave(instance& i, std::string leader) {
    const std::shared_ptr<rpc::control_peer::Stub> stub = peer_stub(i, leader);
    const auto start = [&stub](auto... arguments) { stub->async()->leave(arguments...); };
    rpc::leave_request request;
    request.set_node_id(i.raft->identity().node_id());
    auto answer = co_await runtime::call_unary<rpc::leave_reply>(
        i.loop.context(), i.access, std::move(request), leave_timeout, start);
    if (!succeeded(answer)) {
        i.site->peers[leader].stub.reset();
        co_return false;
    }
    co_return value(answer).may_stop();
}

// True if this instance has a vote that a learner could take, as far as it knows.
bool may_pass_vote(const instance& i) {
    const consensus::node& n = *i.raft->node();
    const bool learners_known = !consensus::members_of(n).learners().empty();
    return consensus::change_under_way(n) ||
           (learners_known && consensus::is_voter(n, i.raft->identity().node_id()));
}

const schema::control_member* member_at(const schema::configuration& members,
                                        const std::string& address, consensus::node_id except) {
    for (const schema::control_member& m : members.voters()) {
        if (m.address() == address && m.id() != except) {
            return &m;
        }
    }
    return nullptr;
}

bool can_become_voter(const instance& i, consensus::node_id learner, time_point now) {
    return consensus::heard_within(*i.raft->node(), learner, learner_max_silence, now) &&
           !is_departing(i.site->leaving, learner, now);
}

// The voter that `replacement` should replace: one with an earlier identity at the same address, or
// a silent or departing one; 0 if there is none.
consensus::node_id voter_to_replace(const instance& i, const schema::control_member& replacement) {
    const consensus::node& n = *i.raft->node();
    if (const auto* old =
            member_at(consensus::members_of(n), replacement.address(), replacement.id())) {
        return old->id();
    }
    const time_point now = runtime::boot_now();
    const consensus::node_id silent = consensus::silent_voter(n, i.settings.site->lost_after, now);
    return silent != 0 ? silent : departing_voter(i.site->leaving, consensus::members_of(n), now);
}

// Makes `learner` a voter: in place of a lost one, or if there are fewer voters
// than configured. True if a change was started.
bool make_voter(instance& i, const schema::control_member& learner) {
    const consensus::node& n = *i.raft->node();
    const consensus::node_id lost = voter_to_replace(i, learner);
    if (lost != 0) {
        const bool swapped = succeeded(i.raft->replace_voter(lost, learner.id()));
        if (swapped) {
            log_event(severity::info, event::member_swapped,
                      {{"lost", lost}, {"fresh", learner.id()}, {"address", learner.address()}});
        }
        return swapped;
    }
    const auto voters = static_cast<std::uint32_t>(consensus::members_of(n).voters_size());
    if (voters < i.settings.site->voters) {
        return succeeded(i.raft->promote_learner(learner.id()));
    }
    return false;
}

}  // namespace

void start_joining(instance& i) {
    found_if_seed(i);
    runtime::spawn(i.loop, [&i] { return maintain_membership(i); });
}

rpc::join_reply answer_join(instance& i, const rpc::join_request& request) {
    rpc::join_reply reply;
    for (const std::string& address : i.raft->member_addresses()) {
        reply.add_addresses(address);
    }
    if (i.raft->is_leader()) {
        // Refused while another change is in progress; the joining instance repeats its request.
        reply.set_accepted(succeeded(i.raft->add_learner(request.member())));
    }
    return reply;
}

void repair_members(instance& i) {
    const consensus::node& n = *i.raft->node();
    const schema::configuration members = consensus::members_of(n);
    const time_point now = runtime::boot_now();
    for (const schema::control_member& m : members.learners()) {
        if (can_become_voter(i, m.id(), now) && make_voter(i, m)) {
            return;
        }
        if (!consensus::heard_within(n, m.id(), learner_timeout, now) &&
            succeeded(i.raft->remove_learner(m.id()))) {
            return;
        }
    }
}

bool answer_leave(instance& i, consensus::node_id id) {
    if (!i.raft->is_leader()) {
        return false;
    }
    const time_point now = runtime::boot_now();
    record_departure(i.site->leaving, id, now);
    repair_members(i);
    const consensus::node& n = *i.raft->node();
    if (consensus::change_under_way(n)) {
        return false;
    }
    const auto& learners = consensus::members_of(n).learners();
    return !consensus::is_voter(n, id) ||
           std::none_of(learners.begin(), learners.end(),
                        [&](const auto& m) { return can_become_voter(i, m.id(), now); });
}

boost::asio::awaitable<void> hand_over_vote(instance& i) {
    const time_point began = runtime::boot_now();
    bool may_stop = i.raft->node() == nullptr;
    while (!may_stop && runtime::boot_now() - began < i.settings.site->handover_timeout) {
        const std::string leader = i.raft->leader_address();
        if (i.raft->is_leader()) {
            may_stop = answer_leave(i, i.raft->identity().node_id());
        } else if (!leader.empty()) {
            may_stop = co_await ask_to_leave(i, leader);
        }
        if (!may_stop) {
            may_stop = !may_pass_vote(i);
        }
        if (!may_stop) {
            co_await runtime::sleep_for(leave_interval);
        }
    }
    log_event(severity::info, event::vote_handed_over,
              {{"may_stop", may_stop ? "yes" : "no"},
               {"took_ms", to_milliseconds(runtime::boot_now() - began)}});
}

}  // namespace burdockdeck::control
