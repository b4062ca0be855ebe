// Reports of the members, and the choice of whom to ask and where to redirect.
#include "directory.h"

#include <algorithm>

#include "instance.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "site.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration ask_interval = std::chrono::milliseconds(1000);
// Interval while no member has reported recently.
constexpr duration search_interval = std::chrono::milliseconds(250);
constexpr duration exchange_timeout = std::chrono::milliseconds(600);
// Interval at which a member reports to the seeds.
constexpr duration report_interval = std::chrono::milliseconds(1000);
// A member that the leader has not heard for this long gets no redirected calls.
constexpr duration max_member_silence = std::chrono::milliseconds(500);

// After one missed answer of the leader, all instances are asked, so that reports do not become too
// old.
bool hears_leader(const directory& d, time_point now) {
    return !d.leader.empty() && now - d.confirmed_at <= ask_interval + exchange_timeout;
}

bool is_confirmed(const directory& d, time_point now) {
    return d.confirmed_at != time_point{} && now - d.confirmed_at <= max_report_age;
}

std::set<std::string> seed_addresses(const instance& i,
                                     const std::vector<settings::endpoint>& seeds) {
    std::set<std::string> out;
    for (const settings::endpoint& seed : seeds) {
        out.insert(rpc_address(i, seed));
    }
    out.erase(to_text(i.settings.advertise));
    return out;
}

// Connections of an instance without a data folder, by address.
using stub_map = std::map<std::string, std::shared_ptr<rpc::control_peer::Stub>>;

boost::asio::awaitable<void> ask_for_members(instance& i, std::string address,
                                             std::shared_ptr<stub_map> stubs) {
    auto& kept = (*stubs)[address];
    if (kept == nullptr) {
        kept = rpc::control_peer::NewStub(runtime::open_channel(address, i.access));
    }
    const std::shared_ptr<rpc::control_peer::Stub> stub = kept;
    const auto start = [&stub](auto... arguments) {
        stub->async()->exchange_members(arguments...);
    };
    auto answer = co_await runtime::call_unary<rpc::member_list>(
        i.loop.context(), i.access, report_known_members(i), exchange_timeout, start);
    if (!succeeded(answer)) {
        stubs->erase(address);
        co_return;
    }
    if (record_report(*i.members, value(answer), runtime::boot_now())) {
        log_event(severity::info, event::members_learnt,
                  {{"source", address},
                   {"members", static_cast<std::uint64_t>(i.members->members.size())},
                   {"leader", i.members->leader}});
    }
}

boost::asio::awaitable<void> keep_asking(instance& i) {
    const auto stubs = std::make_shared<stub_map>();
    while (!i.stopping) {
        const time_point now = runtime::boot_now();
        const directory& d = *i.members;
        const auto asked = instances_to_ask(d, seed_addresses(i, d.seeds), now);
        std::erase_if(*stubs, [&](const auto& kept) { return !asked.contains(kept.first); });
        for (const std::string& address : asked) {
            runtime::spawn(i.loop,
                           [&i, address, stubs] { return ask_for_members(i, address, stubs); });
        }
        co_await runtime::sleep_for(is_confirmed(d, now) ? ask_interval : search_interval);
    }
}

boost::asio::awaitable<void> report_to(instance& i, std::string address) {
    const std::shared_ptr<rpc::control_peer::Stub> stub = peer_stub(i, address);
    const auto start = [&stub](auto... arguments) {
        stub->async()->exchange_members(arguments...);
    };
    auto answer = co_await runtime::call_unary<rpc::member_list>(
        i.loop.context(), i.access, report_members(i), exchange_timeout, start);
    if (!succeeded(answer)) {
        i.site->peers[address].stub.reset();
    }
}

boost::asio::awaitable<void> keep_reporting_to_seeds(instance& i) {
    while (!i.stopping) {
        if (i.raft->node() != nullptr) {
            std::set<std::string> targets = seed_addresses(i, i.site->seeds);
            for (const std::string& member : i.raft->member_addresses()) {
                targets.erase(member);
            }
            for (const std::string& address : targets) {
                runtime::spawn(i.loop, [&i, address] { return report_to(i, address); });
            }
        }
        co_await runtime::sleep_for(report_interval);
    }
}

}  // namespace

std::optional<std::string> redirect_target(directory& d, redirect_kind kind, time_point now) {
    if (!is_confirmed(d, now)) {
        return std::nullopt;
    }
    if (kind == redirect_kind::to_leader && !d.leader.empty()) {
        return d.leader;
    }
    if (d.responsive.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick(0, d.responsive.size() - 1);
    return d.responsive[pick(d.rng)];
}

std::set<std::string> instances_to_ask(const directory& d, const std::set<std::string>& seeds,
                                       time_point now) {
    if (hears_leader(d, now)) {
        return {d.leader};
    }
    std::set<std::string> all = seeds;
    all.insert(d.members.begin(), d.members.end());
    return all;
}

bool record_report(directory& d, const rpc::member_list& report, time_point now) {
    const std::set<std::string> members_before = d.members;
    const std::string leader_before = d.leader;
    if (!report.from_member()) {
        d.members.insert(report.addresses().begin(), report.addresses().end());
        return d.members != members_before;
    }
    const bool from_leader = report.responsive_size() > 0;
    // Other members know less of who is running than the leader does.
    const bool names_no_other = report.leader().empty() || report.leader() == d.leader;
    if (!from_leader && hears_leader(d, now) && names_no_other) {
        return false;
    }
    if (from_leader) {
        d.members.clear();
    }
    d.members.insert(report.addresses().begin(), report.addresses().end());
    const auto& running = from_leader ? report.responsive() : report.addresses();
    d.responsive = {running.begin(), running.end()};
    d.leader = report.leader();
    d.confirmed_at = now;
    return d.members != members_before || d.leader != leader_before;
}

rpc::member_list report_members(const instance& i) {
    rpc::member_list out;
    out.set_from_member(i.raft->node() != nullptr);
    for (const std::string& address : i.raft->member_addresses()) {
        out.add_addresses(address);
    }
    if (!i.raft->isolated()) {
        out.set_leader(i.raft->leader_address());
    }
    if (!i.raft->is_leader()) {
        return out;
    }
    const consensus::node& n = *i.raft->node();
    const schema::configuration& members = consensus::members_of(n);
    for (const auto* group : {&members.voters(), &members.learners()}) {
        for (const schema::control_member& m : *group) {
            if (m.id() == n.id ||
                consensus::heard_within(n, m.id(), max_member_silence, runtime::boot_now())) {
                out.add_responsive(m.address());
            }
        }
    }
    return out;
}

void start_reporting_to_seeds(instance& i) {
    runtime::spawn(i.loop, [&i] { return keep_reporting_to_seeds(i); });
}

void start_directory(instance& i) {
    runtime::spawn(i.loop, [&i] { return keep_asking(i); });
}

rpc::member_list report_known_members(const instance& i) {
    rpc::member_list out;
    for (const std::string& address : i.members->members) {
        out.add_addresses(address);
    }
    return out;
}

}  // namespace burdockdeck::control
