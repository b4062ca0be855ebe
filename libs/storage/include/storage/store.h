// The data folder of one control instance: identity, snapshot and log. Data is durable once the
// call that writes it has returned success: the file is then synced and, for a new or replaced
// file, also its folder.
#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "consensus.pb.h"

namespace burdockdeck::storage {

// An error for a file; if the log is damaged, `offset` is that of the first damaged record.
struct storage_error {
    std::string file;
    std::uint64_t offset = 0;
    std::string message;
};

// The contents of a data folder when it was opened.
struct contents {
    schema::hard_state hard;
    schema::snapshot snapshot;
    std::vector<schema::log_entry> entries;
    // Bytes truncated from the end of the log: an incomplete or damaged last write.
    std::uint64_t truncated_bytes = 0;
};

// Faults that tests inject to show that the checks detect them.
enum class mutation { none, skip_sync, accept_damage };

// An open data folder. A lock file limits it to one process at a time.
class store {
public:
    // Opens `folder` and creates it if missing. Fails if data before the last batch is damaged, if
    // another process holds the lock, and on any I/O error.
    [[nodiscard]] static result<std::unique_ptr<store>, storage_error> open(
        const std::filesystem::path& folder, contents& found,
        mutation active_mutation = mutation::none);

    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    // The stored identity; an empty data folder gets a random node id and no cluster.
    [[nodiscard]] const schema::identity& identity() const;
    // Stores `cluster` permanently in the identity. Precondition: no cluster is stored yet.
    [[nodiscard]] result<nothing, storage_error> join_cluster(const std::string& cluster);
    // Like join_cluster, but for a founding member, whose node id is derived from its settings.
    [[nodiscard]] result<nothing, storage_error> found_cluster(const std::string& cluster,
                                                               std::uint64_t node_id);
    // Appends and syncs one batch. Its entries replace all stored entries from its first index on.
    [[nodiscard]] result<nothing, storage_error> append(schema::storage_batch batch);
    // Replaces the snapshot, then the log by `hard` and `entries`. A crash at any point leaves the
    // old snapshot and log, the new snapshot with the old log (whose entries covered by the
    // snapshot are skipped on open), or both new.
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
