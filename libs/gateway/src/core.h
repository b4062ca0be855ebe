// State shared by the parts of one gateway. Used on the traffic loop only, except where noted.
#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

#include "answer_memory.h"
#include "connection_pool.h"
#include "dispatch/budget.h"
#include "dispatch/speed.h"
#include "gateway/protocol.h"
#include "gateway/settings.h"
#include "quarantine/quarantine.h"
#include "resumption/origins.h"
#include "runtime/loop.h"
#include "runtime/metrics.h"
#include "runtime/rpc.h"
#include "services.grpc.pb.h"
#include "site_client.h"
#include "site_view.h"

namespace burdockdeck::gateway {

class session;
class beacon_listener;
struct load_question;
struct origin_question;
struct request_state;

struct demand_key {
    std::string service;
    std::string model;
    bool long_prompts = false;

    bool operator<(const demand_key& other) const {
        return std::tie(service, model, long_prompts) <
               std::tie(other.service, other.model, other.long_prompts);
    }
};

struct model_counts {
    std::uint32_t arrivals = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::uint32_t unplaced = 0;
    std::uint32_t in_flight = 0;
};

// Crashes of engines as this gateway knows them.
struct quarantine_state {
    quarantine::table known;
    // The revision of `known` up to which crashes were passed to control.
    std::uint64_t shared_revision = 0;
    // When engines last answered requests of this gateway, by prompt part; at most
    // `quarantine::max_proofs`.
    std::unordered_map<quarantine::part_id, quarantine::proof> own_answers;
    // When news last changed `known`, and the parts with an answer, or with a complete answer,
    // since then that control was told of.
    time_point changed_at{};
    std::set<quarantine::part_id> shared_answers;
    std::set<quarantine::part_id> shared_whole_answers;
    // Crashes that this gateway's own attempts showed in the last seconds.
    std::map<quarantine::incarnation, time_point> own_crashes;
    bool share_scheduled = false;
};

struct core {
    core(const gateway_settings& s, caller_protocol p, runtime::rpc_access a)
        : settings(s), protocol(std::move(p)), access(std::move(a)) {
        answers_held.limit = settings.max_answer_bytes;
    }

    gateway_settings settings;
    caller_protocol protocol;
    runtime::rpc_access access;
    runtime::metrics metrics;
    site_view view;
    std::mt19937_64 rng{std::random_device{}()};
    // By upstream id.
    std::map<std::string, connection_pool> pools;
    // By service.
    std::map<std::string, dispatch::retry_budget> budgets;
    std::map<demand_key, model_counts> demand;
    // Set when a request found no copy of its model: the planner is to know before the next regular
    // report.
    bool demand_report_due = false;
    dispatch::model_speeds speeds;
    answer_memory answers_held;
    // The control instance that leads, and grants permits; null if none is known.
    std::shared_ptr<rpc::control::Stub> leader;
    // When it was last heard, and when it is to be asked again after it did not answer.
    time_point leader_heard_at{};
    time_point ask_leader_at{};
    // By address of a sidecar.
    std::map<std::string, std::shared_ptr<rpc::sidecar::Stub>> sidecars;
    // Timers of requests that wait for an upstream or for a newer deployment; cancelled whenever
    // the view changes.
    std::list<boost::asio::steady_timer*> waiting_timers;
    // Asks for the load of the engine at an address: for one answer, or for regular ones. Empty if
    // there are no sidecars.
    std::function<void(const std::string& address, bool once)> ask_for_load;
    // Requests that wait for such answers.
    std::list<load_question*> load_questions;
    // Sends one datagram to the sidecar on a host. Empty if there are no sidecars.
    std::function<void(const std::string& ip, const schema::beacon_subscription&)> send_to_sidecar;
    // Origins of the streams that this gateway began.
    resumption::origin_table origins;
    // The hosts that were told of them.
    resumption::told_streams origins_told;
    // Requests that wait for sidecars' answers about origins.
    std::list<origin_question*> origin_questions;
    std::list<std::weak_ptr<session>> sessions;
    std::list<std::weak_ptr<request_state>> open_requests;
    // Connections of callers on which a request is being read, served or answered, until the last
    // byte of the answer can no longer be lost by closing the connection.
    std::uint32_t active_requests = 0;
    quarantine_state quarantine;
    // Passes crash news to control; empty until a connection to control is set up.
    std::function<void(schema::crash_news)> send_crash_news;
    // Starts a check with control whether the deployment in force is the newest;
    // `confirmation_pending` is true until the answer arrives.
    std::function<void()> request_confirmation;
    bool confirmation_pending = false;
    time_point draining_since{};
    // True once the grace time is over; no request is sent from then on.
    bool ending = false;
    // By how much the last timer of the traffic loop was late; what arrives waits as long.
    duration loop_lag{};
    // Also read by the loop that answers readiness checks.
    std::atomic<bool> ready{false};
    std::atomic<bool> draining{false};
    // When the traffic loop last ran a task; read by that loop too.
    std::atomic<std::chrono::steady_clock::time_point> traffic_ran_at{
        std::chrono::steady_clock::now()};

    // Declared last, so that the loops are destroyed first: requests that are still open are
    // destroyed with their loop and access the members above.
    runtime::loop control{"control"};
    runtime::loop traffic{"traffic"};

    ~core() {
        control.stop();
        traffic.stop();
        // Sockets must be destroyed before the loop that they belong to.
        pools.clear();
    }
    core(const core&) = delete;
    core& operator=(const core&) = delete;
};

}  // namespace burdockdeck::gateway
