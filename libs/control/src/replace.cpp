// The steps of a replacement: identify, learn, swap, confirm.
#include "replace.h"

#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"

namespace burdockdeck::control {

namespace {

constexpr duration identify_timeout = std::chrono::milliseconds(1500);
constexpr duration step_pause = std::chrono::milliseconds(50);
constexpr duration longest_replacement = std::chrono::seconds(60);

rpc::replace_reply reply_of(bool done, std::string message) {
    rpc::replace_reply r;
    r.set_done(done);
    r.set_message(std::move(message));
    return r;
}

const schema::control_member* voter_named(const consensus::node& n, const std::string& name) {
    for (const schema::control_member& m : consensus::members_of(n).voters()) {
        if (m.name() == name) {
            return &m;
        }
    }
    return nullptr;
}

// Does what can be done now; true once the replacement is complete.
bool advance(instance& i, const rpc::replace_request& request,
             const schema::control_member& fresh) {
    const consensus::node& n = *i.raft->node();
    if (consensus::change_complete(n, fresh.id())) {
        return true;
    }
    if (consensus::is_voter(n, fresh.id())) {
        return false;
    }
    // Each step is refused while an earlier one is under way; the loop asks again.
    (void)i.raft->add_learner(fresh);
    for (const schema::control_member& m : consensus::members_of(n).voters()) {
        if (m.name() == request.lost_name() && m.id() != fresh.id()) {
            (void)i.raft->replace_voter(m.id(), fresh.id());
            break;
        }
    }
    return false;
}

boost::asio::awaitable<rpc::replace_reply> run(instance& i, rpc::replace_request request) {
    if (!i.raft->is_leader()) {
        co_return reply_of(false, "not the leader; it is at `" + i.raft->leader_address() + "`");
    }
    const auto stub =
        rpc::control_peer::NewStub(runtime::open_channel(request.new_address(), i.access));
    const auto start = [&stub](auto... arguments) { stub->async()->identify(arguments...); };
    rpc::identify_request ask;
    auto identified = co_await runtime::call_unary<rpc::identify_reply>(
        i.loop.context(), i.access, std::move(ask), identify_timeout, start);
    if (!succeeded(identified)) {
        co_return reply_of(false, "no instance answers at `" + request.new_address() +
                                      "`: " + error(identified).message);
    }
    const rpc::identify_reply& who = value(identified);
    const std::string& cluster = who.identity().cluster();
    if (!cluster.empty() && cluster != i.raft->identity().cluster()) {
        co_return reply_of(
            false, "the instance at `" + request.new_address() + "` belongs to another cluster");
    }
    schema::control_member fresh;
    fresh.set_id(who.identity().node_id());
    fresh.set_name(who.name());
    fresh.set_address(request.new_address());
    fresh.set_failure_domain(who.failure_domain());
    const bool voter_already = consensus::is_voter(*i.raft->node(), fresh.id());
    if (!voter_already && voter_named(*i.raft->node(), request.lost_name()) == nullptr) {
        co_return reply_of(false, "no voter is named `" + request.lost_name() + "`");
    }
    const time_point give_up = runtime::boot_now() + longest_replacement;
    while (runtime::boot_now() < give_up && i.raft->is_leader()) {
        if (advance(i, request, fresh)) {
            record_event(i.leader_fleet, "control instance " + request.lost_name() +
                                             ": replaced by the one at " + request.new_address());
            co_return reply_of(true, "replaced; the new members are committed and stored");
        }
        co_await runtime::sleep_for(step_pause);
    }
    co_return reply_of(false, "not complete: ask again, it goes on where it ended");
}

}  // namespace

void replace_member(instance& i, const rpc::replace_request& request,
                    std::function<void(rpc::replace_reply)> done) {
    runtime::spawn(i.loop, [&i, request, done]() -> boost::asio::awaitable<void> {
        rpc::replace_request copy = request;
        rpc::replace_reply answer = co_await run(i, std::move(copy));
        done(std::move(answer));
    });
}

}  // namespace burdockdeck::control
