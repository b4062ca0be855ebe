// The data folder of one control instance: identity, snapshot and log. Nothing counts as stored
// before the call that writes it has returned, with the file and its folder synced.
#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "consensus.pb.h"

namespace burdockdeck::storage {

// A failure, with the file and, for damage, the byte offset of the first bad record.
struct storage_error {
    std::string file;
    std::uint64_t offset = 0;
    std::string message;
};

// What a data folder held when it was opened.
struct contents {
    schema::hard_state hard;
    schema::snapshot snapshot;
    std::vector<schema::log_entry> entries;
    // Bytes of an unfinished last write that were cut.
    std::uint64_t truncated_bytes = 0;
};

// Test-only departures, to show that the checks can fail.
enum class mutation { none, skip_sync, accept_damage };

// An open data folder. One process at a time: a lock file enforces it.
class store {
public:
    // Opens `folder`, creating it if missing. Fails on damage before the last batch, on a lock held
    // by another process and on any I/O error.
    [[nodiscard]] static result<std::unique_ptr<store>, storage_error> open(
        const std::filesystem::path& folder, contents& found, mutation broken = mutation::none);

    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    // The identity on this disk; a new disk mints a random id with no cluster.
    [[nodiscard]] const schema::identity& identity() const;
    // Joins a cluster for good. Precondition: no cluster is set yet.
    [[nodiscard]] result<nothing, storage_error> join_cluster(const std::string& cluster);
    // The same for a founder, whose identity follows from its settings.
    [[nodiscard]] result<nothing, storage_error> found_cluster(const std::string& cluster,
                                                               std::uint64_t node_id);
    // Appends and syncs one batch; its entries replace all stored ones from their first index on.
    [[nodiscard]] result<nothing, storage_error> append(schema::storage_batch batch);
    // Replaces the snapshot, and the log by `hard` and `entries`, so that a crash at any point
    // leaves either the old pair or the new snapshot with a log that reaches over it.
    [[nodiscard]] result<nothing, storage_error> save_snapshot(
        const schema::snapshot& snapshot, const schema::hard_state& hard,
        const std::vector<schema::log_entry>& entries);
    // Bytes in the log file.
    [[nodiscard]] std::uint64_t log_bytes() const;

private:
    struct state;
    explicit store(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

}  // namespace burdockdeck::storage
