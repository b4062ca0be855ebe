// Runs the consensus node: connects it to the disk, to its peers and to the clock. Accessed on the
// control loop only. Order within each round: store and sync, then send, then apply.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "catalog.pb.h"
#include "consensus/node.h"
#include "control/settings.h"
#include "deployment_tail.h"
#include "runtime/loop.h"
#include "runtime/metrics.h"
#include "runtime/rpc.h"
#include "services.grpc.pb.h"
#include "storage/store.h"

namespace burdockdeck::control {

enum class submit_outcome { applied, not_leader, unknown };
using submit_callback = std::function<void(submit_outcome, schema::command_reply)>;
// Called with true once a linearizable read may be served from the local state, with false if that
// cannot be confirmed.
using read_callback = std::function<void(bool)>;

class raft_host {
public:
    raft_host(runtime::loop& control_loop, const control_settings& settings,
              runtime::rpc_access access, runtime::metrics& metrics,
              std::unique_ptr<storage::store> store, storage::contents found);
    ~raft_host();

    // --- Queries
    [[nodiscard]] const schema::catalog_state& state() const;
    [[nodiscard]] const schema::identity& identity() const;
    // The consensus node; null until this instance belongs to a cluster.
    [[nodiscard]] const consensus::node* node() const;
    // True for a leader that has applied all entries committed before its election.
    [[nodiscard]] bool is_leader() const;
    // True while this instance is neither the leader nor in contact with one.
    [[nodiscard]] bool isolated() const;
    // True if `state()` is known to include all entries committed up to 2 * `election_max` ago.
    [[nodiscard]] bool is_up_to_date() const;
    // True if this instance leads, or knows another instance as the leader.
    [[nodiscard]] bool knows_leader() const;
    // True if a leader was known here, or the node was started, within the last two election
    // timeouts. An instance without a leader for longer is probably cut off from the others.
    [[nodiscard]] bool expects_leader() const;
    // Address of the leader; empty if no leader is known.
    [[nodiscard]] std::string leader_address() const;
    [[nodiscard]] std::string leader_name() const;
    // Addresses of all members in the latest local configuration: voters, outgoing voters,
    // learners.
    [[nodiscard]] std::vector<std::string> member_addresses() const;
    // Index of the last log entry applied here.
    [[nodiscard]] std::uint64_t applied() const;
    // Term of the last entry applied since the start of the process; 0 until the first.
    [[nodiscard]] std::uint64_t applied_term() const;

    // --- Commands
    void receive(const schema::raft_message& message);
    void submit(schema::command command, submit_callback done);
    // Read barrier; a follower gets the index to wait for from the leader.
    void read_barrier(read_callback done);
    // Records that the leader has committed the entry at `index` of `term`.
    void learn_commit(std::uint64_t index, std::uint64_t term);
    // Calls `done` with true once all entries up to `index` are applied here, with false if this
    // instance stops or its disk fails first.
    void when_applied(std::uint64_t index, read_callback done);
    // Calls `done` once a leader is known, at once if one is; never after `stop`.
    void when_leader_known(std::function<void()> done);
    // The leader's part of a read barrier: confirms its leadership, then calls `done` with the
    // index to wait for.
    void confirm_index(std::function<void(bool, std::uint64_t)> done);
    [[nodiscard]] result<nothing, std::string> found(const rpc::found_request& request);
    // Founds the cluster. Every seed derives the same `cluster` and `members` from its settings.
    // Precondition: this instance belongs to no cluster.
    [[nodiscard]] result<nothing, std::string> found_from_seeds(
        const std::string& cluster, const schema::configuration& members, consensus::node_id self);
    // Removes a learner. Leader only.
    [[nodiscard]] result<nothing, consensus::change_error> remove_learner(consensus::node_id id);
    // Adds a caught-up learner to the voters. Leader only.
    [[nodiscard]] result<nothing, consensus::change_error> promote_learner(consensus::node_id id);
    [[nodiscard]] result<nothing, consensus::change_error> add_learner(
        const schema::control_member& member);
    [[nodiscard]] result<nothing, consensus::change_error> replace_voter(
        consensus::node_id lost, consensus::node_id replacement);
    void stop();

    // Called after a round in which applied commands changed the table.
    std::function<void()> on_table_changed;
    // Called when this instance gains or loses leadership.
    std::function<void(bool leading)> on_leadership;
    // Called when the disk fails: nothing may be acknowledged from then on. If not set, the
    // instance stops taking part in consensus, and restarts its node from the disk once that is
    // writable again.
    std::function<void()> on_storage_failed;

private:
    struct pending_submit {
        consensus::term_number term = 0;
        submit_callback done;
    };
    struct peer_link {
        std::string address;
        std::shared_ptr<grpc::Channel> channel;
        std::shared_ptr<rpc::control_peer::Stub> stub;
        // When the peer last answered, or when the oldest message was sent to it after a pause.
        time_point last_progress{};
        std::uint32_t in_flight = 0;
        std::uint64_t generation = 0;
    };
    struct apply_waiter {
        std::uint64_t index = 0;
        read_callback done;
    };

    void start_node(const storage::contents& found);
    [[nodiscard]] result<nothing, std::string> found_with(const std::string& cluster,
                                                          const schema::configuration& members,
                                                          consensus::node_id self,
                                                          const schema::catalog_state& state);
    [[nodiscard]] std::uint64_t first_retained_entry() const;
    [[nodiscard]] result<nothing, storage::storage_error> join(const std::string& cluster);
    void schedule_round();
    void run_round();
    [[nodiscard]] bool store_outputs(const consensus::outputs& out);
    void fail_storage(const storage::storage_error& e);
    // Tries to open the data folder at intervals until the disk is writable.
    void retry_storage();
    // Calls back all pending reads with failure.
    void fail_reads();
    void send(const schema::raft_message& message);
    void on_delivered(consensus::node_id peer, std::uint64_t generation);
    void install(const schema::snapshot& snapshot);
    // Logs the members that a committed entry puts in force, and sets their metric.
    void report_members(const schema::log_entry& entry);
    void apply(const schema::log_entry& entry);
    // Reports a gain or loss of leadership since the last call.
    void check_role();
    void finish_reads(const consensus::outputs& out);
    void fail_pending_submits();
    void notify_leader_waiters();
    void maybe_snapshot();
    void arm_timer();
    [[nodiscard]] peer_link* link_to(consensus::node_id id);
    [[nodiscard]] std::string address_of(consensus::node_id id) const;

    runtime::loop& control_loop_;
    control_settings settings_;
    runtime::rpc_access access_;
    runtime::metrics& metrics_;
    std::unique_ptr<storage::store> store_;
    std::optional<consensus::node> node_;
    schema::catalog_state state_;
    std::uint64_t applied_ = 0;
    std::uint64_t applied_term_ = 0;
    deployment_tail deployment_tail_;
    std::mt19937_64 rng_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer storage_timer_;
    bool round_scheduled_ = false;
    bool proposals_pending_ = false;
    bool storage_failed_ = false;
    bool stopped_ = false;
    bool was_leader_ = false;
    std::uint64_t read_context_ = 0;
    std::map<std::uint64_t, pending_submit> pending_submits_;
    // Reads that wait for a confirmation of leadership, by context.
    std::map<std::uint64_t, std::function<void(bool, std::uint64_t)>> unconfirmed_reads_;
    std::vector<apply_waiter> apply_waiters_;
    std::vector<std::function<void()>> leader_waiters_;
    // The last round in which a leader was known, or the start of the node.
    time_point leader_known_at_{};
    std::map<consensus::node_id, peer_link> links_;
    std::map<consensus::node_id, std::string> learned_addresses_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burdockdeck::control
