// Implementation of the data folder, which holds the files `identity`, `snapshot`, `log` and
// `lock`.
#include "storage/store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <random>
#include <utility>

#include "base/checksum.h"
#include "file.h"
#include "record.h"

namespace burdockdeck::storage {

namespace {

namespace fs = std::filesystem;

constexpr mode_t private_file_mode = 0600;

// Encodes `m` as one record with a checksum: the format of the files `identity` and `snapshot`.
template <class Message>
std::string encode_checked(const Message& m) {
    const std::string body = m.SerializeAsString();
    return frame_record(0, body);
}

template <class Message>
result<Message, storage_error> read_checked(const fs::path& file) {
    auto bytes = read_file(file);
    if (!succeeded(bytes)) {
        return error(bytes);
    }
    Message m;
    const std::optional<record> found = record_at(value(bytes), 0);
    if (!found ||
        !m.ParseFromArray(found->payload.data(), static_cast<int>(found->payload.size()))) {
        return storage_error{file.string(), 0, "checksum mismatch: the file is damaged"};
    }
    return m;
}

std::uint64_t random_id() {
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> pick(1);
    return pick(device);
}

// Applies one batch of the log to `found`.
void apply_batch(const schema::storage_batch& batch, contents& found) {
    if (batch.has_hard_state()) {
        found.hard = batch.hard_state();
    }
    if (batch.entries().empty()) {
        return;
    }
    const std::uint64_t first = batch.entries(0).index();
    std::erase_if(found.entries, [&](const schema::log_entry& e) { return e.index() >= first; });
    found.entries.insert(found.entries.end(), batch.entries().begin(), batch.entries().end());
}

}  // namespace

struct store::state {
    fs::path folder;
    mutation active_mutation = mutation::none;
    descriptor lock;
    descriptor log;
    schema::identity identity;
    std::uint64_t next_sequence = 1;
    std::uint64_t log_bytes = 0;

    [[nodiscard]] fs::path file(const char* name) const {
        return folder / name;
    }
};

namespace {

result<descriptor, storage_error> take_lock(const fs::path& file) {
    descriptor fd(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, private_file_mode));
    if (fd.get() < 0) {
        return system_error(file, "open lock file");
    }
    if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) {
        return storage_error{file.string(), 0, "data folder is locked by another process"};
    }
    return fd;
}

result<schema::identity, storage_error> load_identity(const fs::path& file) {
    if (fs::exists(file)) {
        return read_checked<schema::identity>(file);
    }
    schema::identity created;
    created.set_node_id(random_id());
    auto written = replace_file(file, encode_checked(created));
    if (!succeeded(written)) {
        return error(written);
    }
    return created;
}

// Reads all intact batches into `found`. Returns the size of the intact part in bytes.
result<std::uint64_t, storage_error> read_log(const fs::path& file, mutation active_mutation,
                                              contents& found, std::uint64_t& next_sequence) {
    auto bytes = read_file(file);
    if (!succeeded(bytes)) {
        return error(bytes);
    }
    const std::string& log = value(bytes);
    std::uint64_t offset = 0;
    while (const std::optional<record> r = record_at(log, offset)) {
        schema::storage_batch batch;
        if (!batch.ParseFromArray(r->payload.data(), static_cast<int>(r->payload.size()))) {
            return storage_error{file.string(), offset,
                                 "record has a valid checksum but cannot be decoded"};
        }
        apply_batch(batch, found);
        next_sequence = r->sequence + 1;
        offset = r->next_offset;
    }
    const std::uint64_t intact_bytes = std::min<std::uint64_t>(offset, log.size());
    if (active_mutation != mutation::accept_damage && find_record(log, intact_bytes + 1)) {
        return storage_error{
            file.string(), intact_bytes,
            "checksum mismatch in a record before intact records: synced data is damaged"};
    }
    found.truncated_bytes = log.size() - intact_bytes;
    return intact_bytes;
}

}  // namespace

store::store(std::unique_ptr<state> s) : state_(std::move(s)) {}
store::~store() = default;

result<std::unique_ptr<store>, storage_error> store::open(const fs::path& folder, contents& found,
                                                          mutation active_mutation) {
    auto s = std::make_unique<state>();
    s->folder = folder;
    s->active_mutation = active_mutation;
    std::error_code failed;
    fs::create_directories(folder, failed);
    if (failed) {
        return storage_error{folder.string(), 0, "create folder: " + failed.message()};
    }
    auto lock = take_lock(s->file("lock"));
    if (!succeeded(lock)) {
        return error(lock);
    }
    s->lock = std::move(value(lock));
    auto identity = load_identity(s->file("identity"));
    if (!succeeded(identity)) {
        return error(identity);
    }
    s->identity = value(identity);
    if (fs::exists(s->file("snapshot"))) {
        auto snapshot = read_checked<schema::snapshot>(s->file("snapshot"));
        if (!succeeded(snapshot)) {
            return error(snapshot);
        }
        found.snapshot = std::move(value(snapshot));
    }
    const fs::path log_file = s->file("log");
    s->log = descriptor(
        ::open(log_file.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, private_file_mode));
    if (s->log.get() < 0) {
        return system_error(log_file, "open");
    }
    auto intact_bytes = read_log(log_file, active_mutation, found, s->next_sequence);
    if (!succeeded(intact_bytes)) {
        return error(intact_bytes);
    }
    s->log_bytes = value(intact_bytes);
    if (::ftruncate(s->log.get(), static_cast<off_t>(s->log_bytes)) != 0) {
        return system_error(log_file, "truncate the incomplete last record");
    }
    if (::fsync(s->log.get()) != 0) {
        return system_error(log_file, "fsync");
    }
    auto synced = sync_folder(folder);
    if (!succeeded(synced)) {
        return error(synced);
    }
    std::erase_if(found.entries,
                  [&](const schema::log_entry& e) { return e.index() <= found.snapshot.index(); });
    return std::unique_ptr<store>(new store(std::move(s)));
}

const schema::identity& store::identity() const {
    return state_->identity;
}

result<nothing, storage_error> store::join_cluster(const std::string& cluster) {
    return found_cluster(cluster, state_->identity.node_id());
}

result<nothing, storage_error> store::found_cluster(const std::string& cluster,
                                                    std::uint64_t node_id) {
    schema::identity joined = state_->identity;
    joined.set_node_id(node_id);
    joined.set_cluster(cluster);
    auto written = replace_file(state_->file("identity"), encode_checked(joined));
    if (succeeded(written)) {
        state_->identity = joined;
    }
    return written;
}

result<nothing, storage_error> store::append(schema::storage_batch batch) {
    batch.set_sequence(state_->next_sequence);
    const std::string framed = frame_record(state_->next_sequence, batch.SerializeAsString());
    const fs::path file = state_->file("log");
    auto written = write_all(state_->log, framed, file);
    if (!succeeded(written)) {
        return written;
    }
    ++state_->next_sequence;
    state_->log_bytes += framed.size();
    if (state_->active_mutation == mutation::skip_sync) {
        return nothing{};
    }
    return sync_file(state_->log, file);
}

result<nothing, storage_error> store::save_snapshot(const schema::snapshot& snapshot,
                                                    const schema::hard_state& hard,
                                                    const std::vector<schema::log_entry>& entries) {
    auto saved = replace_file(state_->file("snapshot"), encode_checked(snapshot));
    if (!succeeded(saved)) {
        return saved;
    }
    schema::storage_batch batch;
    *batch.mutable_hard_state() = hard;
    batch.mutable_entries()->Assign(entries.begin(), entries.end());
    batch.set_sequence(state_->next_sequence);
    const std::string framed = frame_record(state_->next_sequence, batch.SerializeAsString());
    const fs::path file = state_->file("log");
    auto replaced = replace_file(file, framed);
    if (!succeeded(replaced)) {
        return replaced;
    }
    ++state_->next_sequence;
    state_->log = descriptor(::open(file.c_str(), O_RDWR | O_APPEND | O_CLOEXEC));
    if (state_->log.get() < 0) {
        return system_error(file, "reopen");
    }
    state_->log_bytes = framed.size();
    return nothing{};
}

std::uint64_t store::log_bytes() const {
    return state_->log_bytes;
}

}  // namespace burdockdeck::storage
