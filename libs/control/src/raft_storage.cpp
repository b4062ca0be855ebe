// The storage part of raft_host: batches, snapshots, and recovery after a disk failure.
#include <boost/asio/io_context.hpp>

#include "raft_host.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/task_times.h"

namespace burdockdeck::control {

using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

// Maximum number of entries before the snapshot that stay in memory, for followers that lag
// slightly.
constexpr std::uint64_t max_retained_entries = 500;
// Maximum size of these entries.
constexpr std::size_t max_retained_bytes = 4 * 1024 * 1024;
// A log file of this size triggers a snapshot, regardless of the number of entries.
constexpr std::uint64_t log_bytes_before_snapshot = 8 * 1024 * 1024;
constexpr duration storage_retry_interval = std::chrono::milliseconds(250);

time_point now() {
    return runtime::boot_now();
}

}  // namespace

bool raft_host::store_outputs(const consensus::outputs& out) {
    const runtime::timed_task timed("storage");
    result<nothing, storage::storage_error> stored = nothing{};
    if (out.install) {
        schema::hard_state hard_state;
        hard_state.set_term(node_->term);
        hard_state.set_voted_for(node_->voted_for);
        stored = store_->save_snapshot(*out.install, hard_state, out.store);
    } else if (out.hard_state || !out.store.empty()) {
        schema::storage_batch batch;
        if (out.hard_state) {
            *batch.mutable_hard_state() = *out.hard_state;
        }
        batch.mutable_entries()->Assign(out.store.begin(), out.store.end());
        const time_point before = now();
        stored = store_->append(std::move(batch));
        metrics_.observe("burdockdeck_log_append_seconds", now() - before);
    }
    if (succeeded(stored)) {
        return true;
    }
    fail_storage(error(stored));
    return false;
}

// After a failed write the contents of the disk are unknown, so nothing may be acknowledged any
// more.
void raft_host::fail_storage(const storage::storage_error& e) {
    storage_failed_ = true;
    log_event(severity::error, event::storage_failed, {{"file", e.file}, {"reason", e.message}});
    fail_pending_submits();
    if (on_storage_failed) {
        on_storage_failed();
        return;
    }
    timer_.cancel();
    check_role();
    fail_reads();
    retry_storage();
}

void raft_host::fail_reads() {
    std::map<std::uint64_t, std::function<void(bool, std::uint64_t)>> reads;
    reads.swap(unconfirmed_reads_);
    for (auto& [context, done] : reads) {
        done(false, 0);
    }
    std::vector<apply_waiter> waiting;
    waiting.swap(apply_waiters_);
    for (const apply_waiter& w : waiting) {
        w.done(false);
    }
}

void raft_host::retry_storage() {
    storage_timer_.expires_after(storage_retry_interval);
    storage_timer_.async_wait([this, alive = alive_](const boost::system::error_code& failed) {
        if (failed || !*alive || stopped_) {
            return;
        }
        store_.reset();
        storage::contents found;
        auto opened = storage::store::open(settings_.data_folder, found);
        if (!succeeded(opened)) {
            retry_storage();
            return;
        }
        store_ = std::move(value(opened));
        // State that was only in memory was never acknowledged and can be discarded.
        node_.reset();
        state_.Clear();
        applied_ = 0;
        storage_failed_ = false;
        log_event(severity::info, event::storage_recovered,
                  {{"entries", static_cast<std::uint64_t>(found.entries.size())}});
        if (!store_->identity().cluster().empty()) {
            start_node(found);
        }
    });
}

void raft_host::maybe_snapshot() {
    const consensus::log_index last_snapshot = node_->latest_snapshot.index();
    const bool many = applied_ >= last_snapshot + settings_.snapshot_every;
    const bool large = store_->log_bytes() > log_bytes_before_snapshot && applied_ > last_snapshot;
    if (!many && !large) {
        return;
    }
    schema::snapshot s;
    s.set_index(applied_);
    s.set_term(node_->log.entries[applied_ - node_->log.base_index - 1].term());
    for (const consensus::configuration_at& c : node_->configurations) {
        if (c.index <= applied_) {
            *s.mutable_members() = c.members;
        }
    }
    s.set_state(state_.SerializeAsString());
    std::vector<schema::log_entry> rest;
    for (const schema::log_entry& e : node_->log.entries) {
        if (e.index() > applied_) {
            rest.push_back(e);
        }
    }
    schema::hard_state hard_state;
    hard_state.set_term(node_->term);
    hard_state.set_voted_for(node_->voted_for);
    const auto saved = store_->save_snapshot(s, hard_state, rest);
    if (!succeeded(saved)) {
        fail_storage(error(saved));
        return;
    }
    log_event(severity::info, event::snapshot_saved,
              {{"index", s.index()}, {"bytes", static_cast<std::uint64_t>(s.ByteSizeLong())}});
    const std::uint64_t keep_from = first_retained_entry();
    consensus::compact(*node_, std::move(s), keep_from);
}

std::uint64_t raft_host::first_retained_entry() const {
    std::uint64_t first = applied_ + 1;
    std::size_t bytes = 0;
    const consensus::entry_log& log = node_->log;
    while (first > log.base_index + 1 && applied_ + 1 - first < max_retained_entries) {
        bytes += log.entries[first - 2 - log.base_index].ByteSizeLong();
        if (bytes > max_retained_bytes) {
            break;
        }
        --first;
    }
    return first;
}

}  // namespace burdockdeck::control
