// The host of a consensus node, with a data folder and with peers played by the test.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <filesystem>
#include <future>
#include <random>
#include <thread>

#include "catalog.pb.h"
#include "raft_host.h"

using namespace burdockdeck;
using namespace burdockdeck::control;
using std::chrono::milliseconds;

namespace {

constexpr consensus::node_id self = 1;
constexpr consensus::node_id peer = 2;
const std::string cluster = "c";

// Texts of different `salt` share no line.
std::string long_text(unsigned salt) {
    std::mt19937 rng(salt);
    std::string out;
    for (int i = 0; i < 400; ++i) {
        out += "route " + std::to_string(rng()) + " to service " + std::to_string(rng()) + "\n";
    }
    return out;
}

schema::command change_to(std::uint64_t version, const std::string& text) {
    schema::command c;
    c.mutable_replace_deployment()->mutable_next()->set_version(version);
    c.mutable_replace_deployment()->mutable_next()->set_source(text);
    return c;
}

schema::log_entry entry_of(std::uint64_t index, std::uint64_t term, const schema::command& c) {
    schema::log_entry e;
    e.set_index(index);
    e.set_term(term);
    e.set_kind(schema::entry_command);
    e.set_data(c.SerializeAsString());
    return e;
}

schema::raft_message message_of(schema::raft_message_kind kind, std::uint64_t term) {
    schema::raft_message m;
    m.set_cluster(cluster);
    m.set_from(peer);
    m.set_to(self);
    m.set_kind(kind);
    m.set_term(term);
    return m;
}

schema::raft_message stored_up_to(std::uint64_t index, std::uint64_t term) {
    schema::raft_message m = message_of(schema::append_reply, term);
    m.set_log_index(index);
    return m;
}

// A member of a cluster of three. The other two exist only as messages of the test.
class hosted_node {
public:
    hosted_node() : loop_("control") {
        folder_ = std::filesystem::temp_directory_path() /
                  ("test_raft_host." + std::to_string(std::random_device{}()));
        settings_.data_folder = folder_.string();
        storage::contents found;
        auto store = storage::store::open(folder_, found);
        REQUIRE(succeeded(store));
        auto access = runtime::rpc_access::create({});
        REQUIRE(succeeded(access));
        host_ = std::make_unique<raft_host>(loop_, settings_, value(access), metrics_,
                                            std::move(value(store)), std::move(found));
        schema::configuration members;
        for (consensus::node_id id = self; id <= 3; ++id) {
            schema::control_member& m = *members.add_voters();
            m.set_id(id);
            m.set_address("127.0.0.1:" + std::to_string(id));
        }
        run([&] { REQUIRE(succeeded(host_->found_from_seeds(cluster, members, self))); });
    }

    ~hosted_node() {
        run([&] { host_->stop(); });
        loop_.stop();
        std::filesystem::remove_all(folder_);
    }

    raft_host& host() {
        return *host_;
    }

    // Runs `work` as one task of the control loop.
    void run(const std::function<void()>& work) {
        std::promise<void> done;
        loop_.post([&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    // Runs `attempt` as one task after the other until it returns true.
    void run_until(const std::function<bool()>& attempt) {
        bool succeeded = false;
        for (int i = 0; i < 1000 && !succeeded; ++i) {
            run([&] { succeeded = attempt(); });
            std::this_thread::sleep_for(milliseconds(succeeded ? 0 : 5));
        }
        REQUIRE(succeeded);
    }

    // Becomes the leader of the next term with the vote of `peer`.
    void lead() {
        run_until([&] {
            if (host_->node()->current_role != consensus::role::pre_candidate) {
                return false;
            }
            const std::uint64_t term = host_->node()->term + 1;
            host_->receive(message_of(schema::pre_vote_reply, term));
            host_->receive(message_of(schema::vote_reply, term));
            return host_->node()->current_role == consensus::role::leader;
        });
    }

    // Submits `c` once this node leads, and returns the reply after `peer` has stored it.
    schema::command_reply commit(const schema::command& c) {
        std::optional<schema::command_reply> reply;
        bool accepted = false;
        run_until([&] {
            accepted = true;
            host_->submit(c, [&](submit_outcome outcome, schema::command_reply r) {
                accepted = outcome != submit_outcome::not_leader;
                if (outcome == submit_outcome::applied) {
                    reply = std::move(r);
                }
            });
            return accepted;
        });
        run_until([&] {
            const consensus::node& n = *host_->node();
            host_->receive(stored_up_to(consensus::last_index(n), n.term));
            return reply.has_value();
        });
        return *reply;
    }

private:
    std::filesystem::path folder_;
    control_settings settings_;
    runtime::metrics metrics_;
    runtime::loop loop_;
    std::unique_ptr<raft_host> host_;
};

}  // namespace

// Guards against changes that are refused because they are encoded for an outdated deployment, and
// then for as long as the same instance leads.
TEST_CASE("a new leader takes no change before it has applied its log, and every one afterwards") {
    hosted_node n;
    n.run([&] {
        schema::raft_message m = message_of(schema::append_request, 2);
        m.set_log_index(1);
        m.set_log_term(1);
        *m.add_entries() = entry_of(2, 2, change_to(1, long_text(1)));
        m.set_commit(2);
        n.host().receive(m);
    });
    n.run_until([&] { return n.host().state().deployment().version() == 1; });
    n.run([&] {
        schema::raft_message m = message_of(schema::append_request, 2);
        m.set_log_index(2);
        m.set_log_term(2);
        *m.add_entries() = entry_of(3, 2, change_to(2, long_text(2)));
        m.set_commit(2);
        n.host().receive(m);
    });
    n.lead();
    std::optional<submit_outcome> outcome;
    n.run([&] {
        // Commits version 2. It is applied by the loop's next round.
        n.host().receive(stored_up_to(4, n.host().node()->term));
        n.host().submit(change_to(3, long_text(3)),
                        [&](submit_outcome o, const auto&) { outcome = o; });
    });
    n.run([&] { CHECK(outcome == submit_outcome::not_leader); });
    for (std::uint64_t version = 3; version <= 5; ++version) {
        CAPTURE(version);
        const std::string text = long_text(static_cast<unsigned>(version));
        const schema::command_reply reply = n.commit(change_to(version, text));
        CHECK_MESSAGE(reply.status() == schema::status_done, reply.message());
        n.run([&] {
            CHECK(n.host().state().deployment().version() == version);
            const bool has_text = n.host().state().deployment().source() == text;
            CHECK(has_text);
        });
    }
}
