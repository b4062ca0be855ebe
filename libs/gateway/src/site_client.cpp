// One watch stream per control instance, reopened with backoff when it fails or is silent. Updates
// carry the deployment's version but not its text, which is fetched from one instance.
#include "site_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <random>
#include <set>

#include "deployment_fetch.h"
#include "quarantine/news.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"

namespace burdockdeck::gateway {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration check_interval = std::chrono::milliseconds(100);
// Control sends an update at least every 400 ms; after three missed ones the connection counts as
// lost.
constexpr duration watch_timeout = std::chrono::milliseconds(1300);
constexpr duration initial_backoff = std::chrono::milliseconds(100);
constexpr duration max_backoff = std::chrono::milliseconds(1500);
// Interval at which a directory is asked again while members are connected.
constexpr duration directory_interval = std::chrono::seconds(10);
// Time until crashes are reported again to an instance that did not take them.
constexpr duration report_retry_delay = std::chrono::milliseconds(500);
constexpr duration report_timeout = std::chrono::milliseconds(800);
// Long enough for one instance to time out and the next one to answer.
constexpr duration confirmation_timeout = initial_fetch_timeout + std::chrono::milliseconds(300);
// Unconnected instances that neither the seeds nor another instance's updates have listed for this
// long are dropped.
constexpr duration unlisted_instance_ttl = std::chrono::seconds(20);

class watch_call : public grpc::ClientReadReactor<rpc::site_update> {
public:
    grpc::ClientContext context;
    rpc::watch_site_request request;
    std::function<void(rpc::site_update)> on_update;
    std::function<void(std::string)> on_end;

    void start(rpc::control::Stub& stub, std::shared_ptr<watch_call> self) {
        self_ = std::move(self);
        stub.async()->watch_site(&context, &request, this);
        StartRead(&update_);
        StartCall();
    }
    void OnReadDone(bool ok) override {
        if (ok) {
            on_update(std::move(update_));
            update_.Clear();
            StartRead(&update_);
        }
    }
    void OnDone(const grpc::Status& status) override {
        on_end(status.error_message());
        self_.reset();
    }

private:
    rpc::site_update update_;
    std::shared_ptr<watch_call> self_;
};

struct control_instance {
    std::shared_ptr<grpc::Channel> channel;
    std::shared_ptr<rpc::control::Stub> stub;
    std::shared_ptr<watch_call> call;
    // The deployment version in its last update.
    std::uint64_t version = 0;
    std::uint64_t serial = 0;
    time_point last_update_at{};
    time_point last_listed_at{};
    // When its last watch ended, and the time until the next one.
    time_point ended_at{};
    duration retry_after{};
    duration backoff = initial_backoff;
    // It has no data folder and tells only where others are.
    bool directory = false;
    bool connected = false;
    bool leading = false;
    // The end of the last time without `leading`.
    time_point leading_since{};
    // The revision of `shared_crashes` that it has, and whether a report to it is under way.
    std::uint64_t reported_crashes = 0;
    bool reporting_crashes = false;
    time_point report_crashes_at{};
};

}  // namespace

struct site_client::state : std::enable_shared_from_this<site_client::state> {
    state(runtime::loop& l, const gateway_settings& s, runtime::rpc_access a, callbacks t)
        : control_loop(l), settings(s), access(std::move(a)), handlers(std::move(t)) {}

    runtime::loop& control_loop;
    gateway_settings settings;
    runtime::rpc_access access;
    callbacks handlers;
    std::map<std::string, control_instance> instances;
    deployment_text newest;
    fetch_state fetch;
    // Crashes that this gateway knows, and the answers that it received itself.
    quarantine::table shared_crashes;
    bool seen_up_to_date = false;
    // Deadline for control's confirmation that no version newer than `newest` exists; empty if none
    // is requested.
    std::optional<time_point> confirmation_deadline;
    // Updates received before the first one from an instance that is up to date.
    std::vector<rpc::site_update> deferred_updates;
    std::shared_ptr<rpc::control::Stub> leader;
    bool stopped = false;
    std::mt19937_64 rng{std::random_device{}()};

    void mark_listed(const std::string& address, time_point now) {
        instances[address].last_listed_at = now;
    }

    void mark_seeds_listed(time_point now) {
        for (const settings::endpoint& seed : settings.seeds) {
            mark_listed(to_text(settings::endpoint{seed.ip, settings.control_rpc_port}), now);
        }
    }

    void open_watch(const std::string& address, control_instance& c, time_point now) {
        c.channel = runtime::open_channel(address, access);
        c.stub = rpc::control::NewStub(c.channel);
        auto call = std::make_shared<watch_call>();
        access.add_credentials(call->context);
        call->request.set_name(settings.name);
        call->request.set_known_version(newest.version);
        const std::uint64_t serial = ++c.serial;
        c.last_update_at = now;
        auto self = shared_from_this();
        call->on_update = [self, address, serial](rpc::site_update update) {
            boost::asio::post(self->control_loop.context(),
                              [self, address, serial, update = std::move(update)]() mutable {
                                  self->handle_update(address, serial, std::move(update));
                              });
        };
        call->on_end = [self, address, serial](const std::string& why) {
            boost::asio::post(self->control_loop.context(), [self, address, serial, why] {
                self->handle_watch_loss(address, serial, why);
            });
        };
        c.call = call;
        call->start(*c.stub, call);
    }

    void handle_update(const std::string& address, std::uint64_t serial, rpc::site_update update) {
        control_instance& c = instances[address];
        if (stopped || serial != c.serial) {
            return;
        }
        const time_point now = runtime::boot_now();
        c.last_update_at = now;
        for (const std::string& other : update.control_addresses()) {
            mark_listed(other, now);
        }
        c.directory = update.directory();
        if (c.directory) {
            return;
        }
        c.backoff = initial_backoff;
        if (update.leading() && !c.leading) {
            c.leading_since = now;
        }
        c.leading = update.leading();
        find_leader();
        c.version = update.version();
        if (!c.connected) {
            c.connected = true;
            c.reported_crashes = 0;
            log_event(severity::info, event::control_regained,
                      {{"control", address}, {"version", update.version()}});
        }
        // An instance that is not up to date may be far behind, so updates are held until one from
        // an up-to-date instance has arrived.
        deferred_updates.push_back(std::move(update));
        seen_up_to_date = seen_up_to_date || deferred_updates.back().up_to_date();
        if (!seen_up_to_date) {
            return;
        }
        std::vector<rpc::site_update> ready;
        ready.swap(deferred_updates);
        for (rpc::site_update& u : ready) {
            handlers.updated(std::move(u));
        }
        fetch_if_needed(now);
    }

    // A deposed leader may believe for some time that it leads; the one that began last does.
    void find_leader() {
        const control_instance* latest = nullptr;
        for (const auto& [address, c] : instances) {
            const bool leads = c.leading && c.stub != nullptr;
            if (leads && (latest == nullptr || c.leading_since > latest->leading_since)) {
                latest = &c;
            }
        }
        const std::shared_ptr<rpc::control::Stub> found = latest ? latest->stub : nullptr;
        if (found != leader) {
            leader = found;
            handlers.leader_changed(leader);
        }
    }

    [[nodiscard]] std::vector<reported_version> reported_versions() const {
        std::vector<reported_version> out;
        for (const auto& [address, c] : instances) {
            if (c.stub != nullptr && c.connected) {
                out.push_back({address, c.version});
            }
        }
        return out;
    }

    [[nodiscard]] std::uint64_t version_reported_by(const std::string& address) const {
        const auto found = instances.find(address);
        return found == instances.end() ? 0 : found->second.version;
    }

    // Starts a fetch if an instance reported a newer version or a confirmation was requested.
    void fetch_if_needed(time_point now) {
        if (stopped || !seen_up_to_date) {
            end_confirmation(0, now);
            return;
        }
        const std::uint64_t wanted = confirmation_deadline ? newest.version : newest.version + 1;
        const auto from = begin_fetch(fetch, reported_versions(), wanted, now, rng);
        if (from) {
            runtime::spawn(control_loop, [self = shared_from_this(), address = *from,
                                          stub = instances[*from].stub] {
                return self->fetch_from(address, stub);
            });
        } else if (!fetch.under_way || (confirmation_deadline && now >= *confirmation_deadline)) {
            end_confirmation(0, now);
        }
    }

    void end_confirmation(std::uint64_t version, time_point requested_at) {
        if (confirmation_deadline) {
            confirmation_deadline.reset();
            handlers.confirmed(version, requested_at);
        }
    }

    boost::asio::awaitable<void> fetch_from(std::string address,
                                            std::shared_ptr<rpc::control::Stub> stub) {
        const time_point began = runtime::boot_now();
        const auto start = [&stub](auto... arguments) {
            stub->async()->fetch_deployment(arguments...);
        };
        rpc::fetch_deployment_request request;
        request.set_known_version(fetch.full_text_next ? 0 : newest.version);
        auto answer = co_await runtime::call_unary<rpc::fetch_deployment_reply>(
            control_loop.context(), access, std::move(request), fetch.timeout, start);
        if (stopped) {
            co_return;
        }
        fetch_outcome outcome = fetch_outcome::nothing_new;
        std::string failed;
        if (!succeeded(answer)) {
            outcome = fetch_outcome::no_reply;
            failed = error(answer).message;
        } else if (const auto reply_applied = apply_reply(newest, value(answer));
                   !succeeded(reply_applied)) {
            outcome = fetch_outcome::bad_patch;
            failed = error(reply_applied).message;
        } else if (value(reply_applied)) {
            outcome = fetch_outcome::applied;
            log_event(severity::info, event::deployment_fetched,
                      {{"control", address},
                       {"version", newest.version},
                       {"base_version", value(answer).base_version()},
                       {"bytes", static_cast<std::uint64_t>(value(answer).patch().size())},
                       {"took_ms", to_milliseconds(runtime::boot_now() - began)}});
            handlers.deployed(newest.version, newest.text,
                              value(answer).up_to_date() ? began : time_point{});
        } else if (value(answer).up_to_date() && version_reported_by(address) <= newest.version) {
            outcome = fetch_outcome::confirmed;
        }
        if (!failed.empty()) {
            log_event(severity::warning, event::fetch_failed,
                      {{"control", address}, {"version", newest.version}, {"reason", failed}});
        }
        end_fetch(fetch, address, outcome, runtime::boot_now());
        if (succeeded(answer) && failed.empty() && value(answer).up_to_date()) {
            end_confirmation(newest.version, began);
        }
        fetch_if_needed(runtime::boot_now());
    }

    void handle_watch_loss(const std::string& address, std::uint64_t serial,
                           const std::string& why) {
        control_instance& c = instances[address];
        if (serial != c.serial) {
            return;
        }
        ++c.serial;
        if (c.connected) {
            c.connected = false;
            log_event(severity::info, event::control_lost, {{"control", address}, {"reason", why}});
        }
        c.leading = false;
        if (c.call) {
            c.call->context.TryCancel();
            c.call.reset();
        }
        c.stub.reset();
        c.channel.reset();
        find_leader();
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        c.ended_at = runtime::boot_now();
        c.retry_after = std::chrono::duration_cast<duration>(c.backoff * jitter(rng));
        c.backoff = std::min(c.backoff * 2, max_backoff);
    }

    // True if a watch may be opened again. While members are connected, a directory has no news.
    [[nodiscard]] static bool is_due(const control_instance& c, bool member_connected,
                                     time_point now) {
        const duration pause = c.directory && member_connected ? directory_interval : c.retry_after;
        return now - c.ended_at >= pause;
    }

    void check_watches(time_point now) {
        mark_seeds_listed(now);
        const bool member_connected = std::any_of(instances.begin(), instances.end(),
                                                  [](const auto& i) { return i.second.connected; });
        for (auto& [address, c] : instances) {
            if (c.call && now - c.last_update_at > watch_timeout) {
                handle_watch_loss(address, c.serial, "silent");
            } else if (!c.call && is_due(c, member_connected, now)) {
                open_watch(address, c, now);
            }
        }
        fetch_if_needed(now);
        quarantine::expire(shared_crashes, now);
        report_crashes(now);
        std::erase_if(instances, [&](const auto& item) {
            return !item.second.connected &&
                   now - item.second.last_listed_at > unlisted_instance_ttl;
        });
    }

    void report_crashes(time_point now) {
        for (auto& [address, c] : instances) {
            if (c.connected && c.stub && !c.reporting_crashes && now >= c.report_crashes_at &&
                c.reported_crashes < shared_crashes.revision) {
                c.reporting_crashes = true;
                runtime::spawn(control_loop, [self = shared_from_this(), address = address] {
                    return self->report_crashes_to(address);
                });
            }
        }
    }

    boost::asio::awaitable<void> report_crashes_to(std::string address) {
        const std::uint64_t serial = instances[address].serial;
        const std::shared_ptr<rpc::control::Stub> stub = instances[address].stub;
        const std::uint64_t revision = shared_crashes.revision;
        rpc::crash_report request;
        request.set_gateway(settings.name);
        *request.mutable_news() = quarantine::news_since(
            shared_crashes, instances[address].reported_crashes, runtime::boot_now());
        bool taken = true;
        if (stub != nullptr && !quarantine::is_empty(request.news())) {
            const auto start = [&stub](auto... arguments) {
                stub->async()->report_crashes(arguments...);
            };
            auto answer = co_await runtime::call_unary<rpc::acknowledgement>(
                control_loop.context(), access, std::move(request), report_timeout, start);
            taken = succeeded(answer);
        }
        const auto found = instances.find(address);
        if (stopped || found == instances.end()) {
            co_return;
        }
        control_instance& c = found->second;
        c.reporting_crashes = false;
        if (!taken) {
            // An older version of control does not know the call.
            c.report_crashes_at = runtime::boot_now() + report_retry_delay;
        } else if (c.serial == serial) {
            c.reported_crashes = std::max(c.reported_crashes, revision);
        }
    }

    boost::asio::awaitable<void> run_watches() {
        const auto self = shared_from_this();
        while (!stopped) {
            check_watches(runtime::boot_now());
            co_await runtime::sleep_for(check_interval);
        }
    }
};

site_client::site_client(runtime::loop& control_loop, const gateway_settings& settings,
                         runtime::rpc_access access, callbacks handlers)
    : state_(std::make_shared<state>(control_loop, settings, std::move(access),
                                     std::move(handlers))) {}

site_client::~site_client() = default;

void site_client::start() {
    runtime::spawn(state_->control_loop, [s = state_] { return s->run_watches(); });
}

void site_client::stop() {
    state_->stopped = true;
    for (auto& [address, c] : state_->instances) {
        ++c.serial;
        if (c.call) {
            c.call->context.TryCancel();
        }
    }
}

void site_client::request_confirmation() {
    const time_point now = runtime::boot_now();
    state_->confirmation_deadline = now + confirmation_timeout;
    state_->fetch_if_needed(now);
}

void site_client::set_seeds(const std::vector<settings::endpoint>& seeds) {
    state_->settings.seeds = seeds;
}

void site_client::report(const rpc::demand_report& report) {
    for (auto& [address, c] : state_->instances) {
        if (!c.leading || !c.stub) {
            continue;
        }
        struct demand_call {
            grpc::ClientContext context;
            rpc::demand_report request;
            rpc::acknowledgement reply;
        };
        auto call = std::make_shared<demand_call>();
        call->request = report;
        call->context.set_deadline(
            std::chrono::system_clock::now() +
            std::chrono::duration_cast<std::chrono::microseconds>(report_timeout));
        state_->access.add_credentials(call->context);
        // No retry: the next report follows soon.
        c.stub->async()->report_demand(&call->context, &call->request, &call->reply,
                                       [call](const grpc::Status&) {});
    }
}

void site_client::share(const schema::crash_news& news) {
    if (quarantine::merge(state_->shared_crashes, news, runtime::boot_now())) {
        state_->report_crashes(runtime::boot_now());
    }
}

}  // namespace burdockdeck::gateway
