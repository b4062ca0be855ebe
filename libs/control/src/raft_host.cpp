// Runs the consensus node's rounds: its outputs go to the disk, the network and the catalog.
#include "raft_host.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "catalog/catalog.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/task_times.h"
#include "runtime/trace.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

// A peer that has not answered for this long gets a new connection.
constexpr duration link_timeout = std::chrono::milliseconds(1200);
constexpr duration deliver_timeout = std::chrono::milliseconds(2000);
constexpr duration read_index_timeout = std::chrono::milliseconds(1500);
// Limit of unanswered messages to one peer. Further ones are dropped; the protocol resends them.
constexpr std::uint32_t max_in_flight = 256;

consensus::timing timing_of(const control_settings& s) {
    consensus::timing t;
    t.heartbeat = s.heartbeat;
    t.election_min = s.election_min;
    t.election_max = s.election_max;
    return t;
}

time_point now() {
    return runtime::boot_now();
}

}  // namespace

raft_host::raft_host(runtime::loop& control_loop, const control_settings& settings,
                     runtime::rpc_access access, runtime::metrics& metrics,
                     std::unique_ptr<storage::store> store, storage::contents found)
    : control_loop_(control_loop),
      settings_(settings),
      access_(std::move(access)),
      metrics_(metrics),
      store_(std::move(store)),
      rng_(std::random_device{}()),
      timer_(control_loop.context()),
      storage_timer_(control_loop.context()) {
    if (!store_->identity().cluster().empty()) {
        start_node(found);
    }
}

raft_host::~raft_host() = default;

const schema::catalog_state& raft_host::state() const {
    return state_;
}

const schema::identity& raft_host::identity() const {
    return store_ ? store_->identity() : schema::identity::default_instance();
}

const consensus::node* raft_host::node() const {
    return node_ ? &*node_ : nullptr;
}

bool raft_host::is_leader() const {
    // Committed entries are delivered by one task of the loop and applied by a later one.
    return node_ && consensus::ready_to_lead(*node_) && applied_ >= node_->term_start &&
           !storage_failed_ && !stopped_;
}

bool raft_host::isolated() const {
    return !node_ || storage_failed_ || !consensus::in_contact(*node_, now());
}

bool raft_host::is_up_to_date() const {
    return node_ && !storage_failed_ && applied_ >= node_->last_delivered &&
           consensus::is_up_to_date(*node_, now());
}

bool raft_host::knows_leader() const {
    // A leader that has just been elected accepts no commands yet.
    return is_leader() || (node_ && node_->leader != 0 && node_->leader != node_->id);
}

bool raft_host::expects_leader() const {
    return now() - leader_known_at_ < 2 * settings_.election_max;
}

std::string raft_host::address_of(consensus::node_id id) const {
    const schema::configuration& members = consensus::members_of(*node_);
    for (const auto* group : {&members.voters(), &members.outgoing(), &members.learners()}) {
        for (const schema::control_member& m : *group) {
            if (m.id() == id) {
                return m.address();
            }
        }
    }
    const auto learned = learned_addresses_.find(id);
    return learned == learned_addresses_.end() ? "" : learned->second;
}

std::string raft_host::leader_address() const {
    return node_ && node_->leader != 0 ? address_of(node_->leader) : "";
}

std::string raft_host::leader_name() const {
    if (!node_) {
        return "";
    }
    for (const schema::control_member& m : consensus::members_of(*node_).voters()) {
        if (m.id() == node_->leader) {
            return m.name();
        }
    }
    return "";
}

std::vector<std::string> raft_host::member_addresses() const {
    std::vector<std::string> out;
    if (!node_) {
        return out;
    }
    const schema::configuration& members = consensus::members_of(*node_);
    for (const auto* group : {&members.voters(), &members.outgoing(), &members.learners()}) {
        for (const schema::control_member& m : *group) {
            if (std::find(out.begin(), out.end(), m.address()) == out.end()) {
                out.push_back(m.address());
            }
        }
    }
    return out;
}

std::uint64_t raft_host::applied() const {
    return applied_;
}

std::uint64_t raft_host::applied_term() const {
    return applied_term_;
}

void raft_host::start_node(const storage::contents& found) {
    const consensus::restored_state restored{found.hard, found.snapshot, found.entries};
    node_ = consensus::create(store_->identity().node_id(), store_->identity().cluster(),
                              timing_of(settings_), restored, now(), rng_);
    leader_known_at_ = now();
    if (found.snapshot.index() > 0) {
        state_.ParseFromString(found.snapshot.state());
        applied_ = found.snapshot.index();
    }
    schedule_round();
}

result<nothing, storage::storage_error> raft_host::join(const std::string& cluster) {
    auto joined = store_->join_cluster(cluster);
    if (!succeeded(joined)) {
        return joined;
    }
    start_node({});
    log_event(severity::info, event::cluster_joined, {{"cluster", cluster}});
    return nothing{};
}

void raft_host::receive(const schema::raft_message& message) {
    if (stopped_ || storage_failed_ || message.to() != identity().node_id()) {
        return;
    }
    learned_addresses_[message.from()] = message.from_address();
    // Only a cluster that has this identity among its members sends messages to it.
    if (!node_ && !succeeded(join(message.cluster()))) {
        return;
    }
    consensus::step(*node_, message, now(), rng_);
    schedule_round();
}

void raft_host::submit(schema::command command, submit_callback done) {
    if (!is_leader()) {
        done(submit_outcome::not_leader, {});
        return;
    }
    if (command.has_replace_deployment()) {
        encode_as_patch(command, deployment_tail_, state_.deployment(), node_->term);
    }
    command.set_at_ms(static_cast<std::uint64_t>(runtime::wall_clock_ns() / 1'000'000));
    const auto index = consensus::propose(*node_, command.SerializeAsString());
    if (!succeeded(index)) {
        done(submit_outcome::not_leader, {});
        return;
    }
    pending_submits_[value(index)] = {node_->term, std::move(done)};
    proposals_pending_ = true;
    schedule_round();
}

void raft_host::confirm_index(std::function<void(bool, std::uint64_t)> done) {
    if (!is_leader()) {
        done(false, 0);
        return;
    }
    const std::uint64_t context = ++read_context_;
    const auto requested = consensus::request_read(*node_, context);
    if (!succeeded(requested)) {
        done(false, 0);
        return;
    }
    unconfirmed_reads_[context] = std::move(done);
    proposals_pending_ = true;
    schedule_round();
}

void raft_host::learn_commit(std::uint64_t index, std::uint64_t term) {
    if (node_ && !stopped_ && !storage_failed_) {
        consensus::learn_commit(*node_, index, term);
        schedule_round();
    }
}

void raft_host::when_applied(std::uint64_t index, read_callback done) {
    if (stopped_ || storage_failed_) {
        done(false);
    } else if (applied_ >= index) {
        done(true);
    } else {
        apply_waiters_.push_back({index, std::move(done)});
    }
}

void raft_host::when_leader_known(std::function<void()> done) {
    if (knows_leader()) {
        done();
    } else if (!stopped_) {
        leader_waiters_.push_back(std::move(done));
    }
}

void raft_host::notify_leader_waiters() {
    if (!knows_leader()) {
        return;
    }
    leader_known_at_ = now();
    std::vector<std::function<void()>> waiting;
    waiting.swap(leader_waiters_);
    for (const std::function<void()>& done : waiting) {
        done();
    }
}

void raft_host::read_barrier(read_callback done) {
    if (!node_ || stopped_ || storage_failed_) {
        done(false);
        return;
    }
    const auto wait_for = [this, done](bool confirmed, std::uint64_t index) {
        if (confirmed) {
            when_applied(index, done);
        } else {
            done(false);
        }
    };
    if (is_leader()) {
        confirm_index(wait_for);
        return;
    }
    peer_link* link = node_->leader == 0 ? nullptr : link_to(node_->leader);
    if (link == nullptr) {
        done(false);
        return;
    }
    const std::shared_ptr<rpc::control_peer::Stub> stub = link->stub;
    runtime::spawn(
        control_loop_, [this, stub, wait_for, alive = alive_]() -> boost::asio::awaitable<void> {
            const auto start = [stub](auto... arguments) {
                stub->async()->read_index(arguments...);
            };
            rpc::read_index_request request;
            auto answer = co_await runtime::call_unary<rpc::read_index_reply>(
                control_loop_.context(), access_, std::move(request), read_index_timeout, start);
            const bool confirmed = *alive && succeeded(answer) && value(answer).leader();
            wait_for(confirmed, confirmed ? value(answer).index() : 0);
        });
}

void raft_host::stop() {
    stopped_ = true;
    *alive_ = false;
    timer_.cancel();
    storage_timer_.cancel();
    leader_waiters_.clear();
    fail_pending_submits();
    fail_reads();
}

// Batches events into one round, so that they share one sync and one broadcast.
void raft_host::schedule_round() {
    if (round_scheduled_ || stopped_) {
        return;
    }
    round_scheduled_ = true;
    boost::asio::post(control_loop_.context(), [this, alive = alive_] {
        if (*alive) {
            round_scheduled_ = false;
            run_round();
        }
    });
}

void raft_host::run_round() {
    const runtime::timed_task timed("consensus");
    if (!node_ || storage_failed_) {
        return;
    }
    if (proposals_pending_) {
        proposals_pending_ = false;
        consensus::flush(*node_, now());
    }
    const std::uint64_t revision_before = state_.revision();
    while (true) {
        const consensus::outputs out = consensus::take_outputs(*node_);
        if (out.empty()) {
            break;
        }
        if (!store_outputs(out)) {
            return;
        }
        for (const schema::raft_message& m : out.messages) {
            send(m);
        }
        if (out.install) {
            install(*out.install);
        }
        for (const schema::log_entry& e : out.committed) {
            apply(e);
        }
        finish_reads(out);
    }
    check_role();
    notify_leader_waiters();
    maybe_snapshot();
    arm_timer();
    if (state_.revision() != revision_before && on_table_changed) {
        on_table_changed();
    }
}

raft_host::peer_link* raft_host::link_to(consensus::node_id id) {
    const std::string address = address_of(id);
    if (address.empty()) {
        return nullptr;
    }
    peer_link& link = links_[id];
    const bool silent = link.in_flight > 0 && now() - link.last_progress > link_timeout;
    if (link.stub == nullptr || link.address != address || silent) {
        link.address = address;
        link.channel = runtime::open_channel(address, access_);
        link.stub = rpc::control_peer::NewStub(link.channel);
        link.in_flight = 0;
        ++link.generation;
    }
    return &link;
}

void raft_host::send(const schema::raft_message& message) {
    peer_link* link = link_to(message.to());
    if (link == nullptr || link->in_flight >= max_in_flight) {
        return;
    }
    if (link->in_flight++ == 0) {
        link->last_progress = now();
    }
    struct delivery {
        grpc::ClientContext context;
        schema::raft_message message;
        rpc::acknowledgement reply;
    };
    auto d = std::make_shared<delivery>();
    d->message = message;
    d->message.set_from_address(to_text(settings_.advertise));
    d->context.set_deadline(std::chrono::system_clock::now() +
                            std::chrono::duration_cast<std::chrono::microseconds>(deliver_timeout));
    access_.add_credentials(d->context);
    metrics_.count("burdockdeck_raft_bytes_sent_total", "", d->message.ByteSizeLong());
    metrics_.count("burdockdeck_raft_messages_sent_total");
    const auto finished = [this, d, id = message.to(), generation = link->generation,
                           alive = alive_](const grpc::Status& status) {
        boost::asio::post(control_loop_.context(), [this, id, generation, alive, ok = status.ok()] {
            if (*alive && ok) {
                on_delivered(id, generation);
            }
        });
    };
    link->stub->async()->deliver(&d->context, &d->message, &d->reply, finished);
}

void raft_host::on_delivered(consensus::node_id peer, std::uint64_t generation) {
    peer_link& link = links_[peer];
    if (link.generation != generation || link.in_flight == 0) {
        return;
    }
    --link.in_flight;
    link.last_progress = now();
}

void raft_host::install(const schema::snapshot& snapshot) {
    state_.ParseFromString(snapshot.state());
    applied_ = snapshot.index();
    log_event(severity::info, event::snapshot_installed, {{"index", snapshot.index()}});
}

void raft_host::report_members(const schema::log_entry& entry) {
    schema::configuration members;
    members.ParseFromString(entry.data());
    log_event(severity::info, event::members_changed,
              {{"index", entry.index()},
               {"voters", members.voters_size()},
               {"outgoing", members.outgoing_size()},
               {"learners", members.learners_size()}});
    metrics_.set("burdockdeck_control_voters", members.voters_size());
}

void raft_host::apply(const schema::log_entry& entry) {
    applied_ = entry.index();
    applied_term_ = entry.term();
    if (entry.kind() == schema::entry_configuration) {
        report_members(entry);
    }
    schema::command_reply reply;
    if (entry.kind() == schema::entry_command) {
        schema::command command;
        command.ParseFromString(entry.data());
        reply = catalog::apply(state_, command);
        metrics_.count("burdockdeck_commands_applied_total");
        if (command.has_replace_deployment() && reply.status() == schema::status_refused) {
            record_refused_change(deployment_tail_);
            log_event(severity::error, event::deployment_refused,
                      {{"version", command.replace_deployment().next().version()},
                       {"index", entry.index()},
                       {"term", entry.term()},
                       {"version_here", state_.deployment().version()},
                       {"reason", reply.message()}});
        }
    }
    const auto waiting = pending_submits_.find(entry.index());
    if (waiting == pending_submits_.end()) {
        return;
    }
    pending_submit submit = std::move(waiting->second);
    pending_submits_.erase(waiting);
    // If the terms differ, another leader's entry took the place of the proposal.
    const bool same_term = submit.term == entry.term();
    submit.done(same_term ? submit_outcome::applied : submit_outcome::not_leader, std::move(reply));
}

void raft_host::finish_reads(const consensus::outputs& out) {
    const auto take_read = [this](std::uint64_t context) {
        const auto found = unconfirmed_reads_.find(context);
        auto done = std::move(found->second);
        unconfirmed_reads_.erase(found);
        return done;
    };
    for (const consensus::ready_read& r : out.reads) {
        take_read(r.context)(true, r.index);
    }
    for (const std::uint64_t context : out.failed_reads) {
        take_read(context)(false, 0);
    }
    std::vector<read_callback> ready;
    std::erase_if(apply_waiters_, [&](const apply_waiter& w) {
        if (w.index > applied_) {
            return false;
        }
        ready.push_back(w.done);
        return true;
    });
    for (const read_callback& done : ready) {
        done(true);
    }
}

void raft_host::fail_pending_submits() {
    std::map<std::uint64_t, pending_submit> lost;
    lost.swap(pending_submits_);
    for (auto& [index, submit] : lost) {
        submit.done(submit_outcome::unknown, {});
    }
}

void raft_host::check_role() {
    const bool leading = is_leader();
    if (leading == was_leader_) {
        return;
    }
    was_leader_ = leading;
    log_event(severity::info, event::role_changed,
              {{"role", leading ? "leader" : "follower"},
               {"term", node_->term},
               {"last_index", consensus::last_index(*node_)}});
    if (!leading) {
        fail_pending_submits();
    }
    if (on_leadership) {
        on_leadership(leading);
    }
}

void raft_host::arm_timer() {
    timer_.expires_after(consensus::next_wakeup(*node_) - now());
    timer_.async_wait([this, alive = alive_](const boost::system::error_code& failed) {
        if (failed || !*alive || stopped_) {
            return;
        }
        consensus::tick(*node_, now(), rng_);
        run_round();
    });
}

}  // namespace burdockdeck::control
