// Steps of a replacement: identify the new instance, add it as a learner, make it a voter in place
// of the lost one, wait for the commit.
#include "replace.h"

#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"

namespace burdockdeck::control {

namespace {

constexpr duration identify_timeout = std::chrono::milliseconds(1500);
constexpr duration step_interval = std::chrono::milliseconds(50);
constexpr duration replacement_timeout = std::chrono::seconds(60);

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

// Attempts the next step. True once the replacement is complete.
bool advance(instance& i, const rpc::replace_request& request,
             const schema::control_member& replacement) {
    const consensus::node& n = *i.raft->node();
    if (consensus::change_complete(n, replacement.id())) {
        return true;
    }
    if (consensus::is_voter(n, replacement.id())) {
        return false;
    }
    // A step is refused while an earlier one is in progress; `run_replacement` retries it.
    (void)i.raft->add_learner(replacement);
    for (const schema::control_member& m : consensus::members_of(n).voters()) {
        if (m.name() == request.lost_name() && m.id() != replacement.id()) {
            (void)i.raft->replace_voter(m.id(), replacement.id());
            break;
        }
    }
    return false;
}

boost::asio::awaitable<rpc::replace_reply> run_replacement(instance& i,
                                                           rpc::replace_request request) {
    if (!i.raft->is_leader()) {
        co_return reply_of(false, "not the leader; it is at `" + i.raft->leader_address() + "`");
    }
    const auto stub =
        rpc::control_peer::NewStub(runtime::open_channel(request.new_address(), i.access));
    const auto start = [&stub](auto... arguments) { stub->async()->identify(arguments...); };
    rpc::identify_request query;
    auto identified = co_await runtime::call_unary<rpc::identify_reply>(
        i.loop.context(), i.access, std::move(query), identify_timeout, start);
    if (!succeeded(identified)) {
        co_return reply_of(false, "no control instance answered at `" + request.new_address() +
                                      "`: " + error(identified).message);
    }
    const rpc::identify_reply& peer = value(identified);
    const std::string& cluster = peer.identity().cluster();
    if (!cluster.empty() && cluster != i.raft->identity().cluster()) {
        co_return reply_of(
            false, "the instance at `" + request.new_address() + "` belongs to another cluster");
    }
    schema::control_member replacement;
    replacement.set_id(peer.identity().node_id());
    replacement.set_name(peer.name());
    replacement.set_address(request.new_address());
    replacement.set_failure_domain(peer.failure_domain());
    const bool already_voter = consensus::is_voter(*i.raft->node(), replacement.id());
    if (!already_voter && voter_named(*i.raft->node(), request.lost_name()) == nullptr) {
        co_return reply_of(false, "no voter is named `" + request.lost_name() + "`");
    }
    const time_point deadline = runtime::boot_now() + replacement_timeout;
    while (runtime::boot_now() < deadline && i.raft->is_leader()) {
        if (advance(i, request, replacement)) {
            record_event(i.leader_fleet, "control instance " + request.lost_name() +
                                             ": replaced by the one at " + request.new_address());
            co_return reply_of(true, "replaced; the new members are committed and stored");
        }
        co_await runtime::sleep_for(step_interval);
    }
    co_return reply_of(false, "the replacement is not complete; repeat the request to continue it");
}

}  // namespace

void replace_member(instance& i, const rpc::replace_request& request,
                    std::function<void(rpc::replace_reply)> done) {
    runtime::spawn(i.loop, [&i, request, done]() -> boost::asio::awaitable<void> {
        rpc::replace_request copy = request;
        rpc::replace_reply answer = co_await run_replacement(i, std::move(copy));
        done(std::move(answer));
    });
}

}  // namespace burdockdeck::control
