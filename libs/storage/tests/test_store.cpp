// Tests that stored data survives reopening, that an incomplete last write is truncated, and that
// damage before the last batch is an error.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "storage/store.h"

using namespace burdockdeck;
using storage::contents;
using storage::store;

namespace {

namespace fs = std::filesystem;

struct scratch_folder {
    fs::path path;
    scratch_folder() {
        std::string name = (fs::temp_directory_path() / "burdockdeck-store-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~scratch_folder() {
        fs::remove_all(path);
    }
};

schema::log_entry entry(std::uint64_t index, std::uint64_t term, const std::string& data) {
    schema::log_entry e;
    e.set_index(index);
    e.set_term(term);
    e.set_data(data);
    return e;
}

schema::storage_batch batch_of(std::uint64_t term, std::vector<schema::log_entry> entries) {
    schema::storage_batch b;
    b.mutable_hard_state()->set_term(term);
    b.mutable_entries()->Assign(entries.begin(), entries.end());
    return b;
}

std::unique_ptr<store> open_store(const fs::path& folder, contents& found) {
    auto opened = store::open(folder, found);
    REQUIRE(succeeded(opened));
    return std::move(value(opened));
}

void append_batches(const fs::path& folder, int batches) {
    contents found;
    auto s = open_store(folder, found);
    for (int i = 1; i <= batches; ++i) {
        REQUIRE(succeeded(s->append(batch_of(1, {entry(i, 1, std::string(100, 'a'))}))));
    }
}

void flip_byte(const fs::path& file, std::uint64_t offset) {
    std::fstream f(file, std::ios::in | std::ios::out | std::ios::binary);
    f.seekg(static_cast<std::streamoff>(offset));
    const char c = static_cast<char>(f.get() ^ 0x40);
    f.seekp(static_cast<std::streamoff>(offset));
    f.put(c);
}

}  // namespace

TEST_CASE("entries, hard state and identity survive reopening; later batches replace a suffix") {
    const scratch_folder folder;
    std::uint64_t id = 0;
    {
        contents found;
        auto s = open_store(folder.path, found);
        id = s->identity().node_id();
        CHECK(id != 0);
        REQUIRE(succeeded(s->join_cluster("c1")));
        REQUIRE(succeeded(s->append(batch_of(1, {entry(1, 1, "a"), entry(2, 1, "b")}))));
        REQUIRE(succeeded(s->append(batch_of(2, {entry(2, 2, "c")}))));
    }
    contents found;
    auto s = open_store(folder.path, found);
    CHECK(s->identity().node_id() == id);
    CHECK(s->identity().cluster() == "c1");
    CHECK(found.hard.term() == 2);
    REQUIRE(found.entries.size() == 2);
    CHECK(found.entries[1].data() == "c");
}

TEST_CASE("opening a data folder that is already open fails") {
    const scratch_folder folder;
    contents found;
    auto first = open_store(folder.path, found);
    const auto second = store::open(folder.path, found);
    REQUIRE(!succeeded(second));
    CHECK(error(second).message.find("another process") != std::string::npos);
}

TEST_CASE("a last record truncated at any byte is removed, and all earlier batches are kept") {
    const scratch_folder folder;
    append_batches(folder.path, 3);
    const fs::path log = folder.path / "log";
    const std::uint64_t total_size = fs::file_size(log);
    const std::uint64_t record_size = total_size / 3;
    const fs::path log_backup = folder.path / "log.kept";
    fs::copy_file(log, log_backup);
    // Up to 7 bytes at the end are padding without data.
    constexpr std::uint64_t max_padding = 7;
    for (std::uint64_t size = total_size - 1 - max_padding; size >= 2 * record_size; --size) {
        CAPTURE(size);
        fs::copy_file(log_backup, log, fs::copy_options::overwrite_existing);
        fs::resize_file(log, size);
        contents found;
        const auto s = open_store(folder.path, found);
        CHECK(found.entries.size() == 2);
        CHECK(found.truncated_bytes == size - 2 * record_size);
    }
}

TEST_CASE(
    "damage in the last batch is truncated; earlier damage is an error with file and offset") {
    const scratch_folder folder;
    append_batches(folder.path, 3);
    const fs::path log = folder.path / "log";
    const std::uint64_t record_size = fs::file_size(log) / 3;
    SUBCASE("last batch") {
        flip_byte(log, 2 * record_size + 50);
        contents found;
        auto s = open_store(folder.path, found);
        CHECK(found.entries.size() == 2);
        CHECK(found.truncated_bytes == record_size);
    }
    SUBCASE("middle payload, middle length field, first header") {
        for (const std::uint64_t offset : {record_size + 50, record_size + 8, std::uint64_t{0}}) {
            flip_byte(log, offset);
            contents found;
            const auto opened = store::open(folder.path, found);
            REQUIRE(!succeeded(opened));
            CHECK(error(opened).file == log.string());
            CHECK(error(opened).offset == offset / record_size * record_size);
            flip_byte(log, offset);
        }
    }
    SUBCASE("the checks detect a store that accepts damage: it loses synced entries") {
        flip_byte(log, record_size + 50);
        contents found;
        const auto opened = store::open(folder.path, found, storage::mutation::accept_damage);
        REQUIRE(succeeded(opened));
        CHECK(found.entries.size() == 1);
    }
}

TEST_CASE("a crash between replacing the snapshot and the log leaves the same state") {
    const scratch_folder folder;
    append_batches(folder.path, 5);
    const fs::path log = folder.path / "log";
    const fs::path log_backup = folder.path / "log.kept";
    fs::copy_file(log, log_backup);
    schema::snapshot snapshot;
    snapshot.set_index(4);
    snapshot.set_term(1);
    {
        contents found;
        auto s = open_store(folder.path, found);
        REQUIRE(succeeded(s->save_snapshot(snapshot, found.hard, {found.entries.back()})));
    }
    for (const bool crashed : {false, true}) {
        if (crashed) {
            fs::rename(log_backup, log);
        }
        contents found;
        auto s = open_store(folder.path, found);
        CHECK(found.snapshot.index() == 4);
        REQUIRE(found.entries.size() == 1);
        CHECK(found.entries[0].index() == 5);
    }
}
