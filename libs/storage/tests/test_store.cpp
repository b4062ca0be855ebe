// What was stored is found again; torn tails are cut; damage in the middle is an error.
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

void fill(const fs::path& folder, int batches) {
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

TEST_CASE("a second opener of the same folder is refused") {
    const scratch_folder folder;
    contents found;
    auto first = open_store(folder.path, found);
    const auto second = store::open(folder.path, found);
    REQUIRE(!succeeded(second));
    CHECK(error(second).message.find("another process") != std::string::npos);
}

TEST_CASE("a tail torn at any byte is cut, and all batches before it stay") {
    const scratch_folder folder;
    fill(folder.path, 3);
    const fs::path log = folder.path / "log";
    const std::uint64_t whole = fs::file_size(log);
    const std::uint64_t third = whole / 3;
    const fs::path kept = folder.path / "log.kept";
    fs::copy_file(log, kept);
    // Up to seven bytes at the end are padding and carry nothing.
    constexpr std::uint64_t most_padding = 7;
    for (std::uint64_t size = whole - 1 - most_padding; size >= 2 * third; --size) {
        CAPTURE(size);
        fs::copy_file(kept, log, fs::copy_options::overwrite_existing);
        fs::resize_file(log, size);
        contents found;
        const auto s = open_store(folder.path, found);
        CHECK(found.entries.size() == 2);
        CHECK(found.truncated_bytes == size - 2 * third);
    }
}

TEST_CASE("damage in the last batch is cut; damage before it names file and offset") {
    const scratch_folder folder;
    fill(folder.path, 3);
    const fs::path log = folder.path / "log";
    const std::uint64_t third = fs::file_size(log) / 3;
    SUBCASE("last batch") {
        flip_byte(log, 2 * third + 50);
        contents found;
        auto s = open_store(folder.path, found);
        CHECK(found.entries.size() == 2);
        CHECK(found.truncated_bytes == third);
    }
    SUBCASE("middle payload, middle length field, first header") {
        for (const std::uint64_t offset : {third + 50, third + 8, std::uint64_t{0}}) {
            flip_byte(log, offset);
            contents found;
            const auto opened = store::open(folder.path, found);
            REQUIRE(!succeeded(opened));
            CHECK(error(opened).file == log.string());
            CHECK(error(opened).offset == offset / third * third);
            flip_byte(log, offset);
        }
    }
    SUBCASE("shown able to fail: a store that accepts damage loses synced entries") {
        flip_byte(log, third + 50);
        contents found;
        const auto opened = store::open(folder.path, found, storage::mutation::accept_damage);
        REQUIRE(succeeded(opened));
        CHECK(found.entries.size() == 1);
    }
}

TEST_CASE("a crash between the new snapshot and the log cut leaves the same end state") {
    const scratch_folder folder;
    fill(folder.path, 5);
    const fs::path log = folder.path / "log";
    const fs::path kept = folder.path / "log.kept";
    fs::copy_file(log, kept);
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
            fs::rename(kept, log);
        }
        contents found;
        auto s = open_store(folder.path, found);
        CHECK(found.snapshot.index() == 4);
        REQUIRE(found.entries.size() == 1);
        CHECK(found.entries[0].index() == 5);
    }
}
