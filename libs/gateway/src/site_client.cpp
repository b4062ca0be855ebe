// One watch stream for each control instance, opened again with backoff when it is lost or silent.
// Watches tell versions; the text of a newer one is fetched from one instance.
#include "site_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <random>
#include <set>

#include "deployment_fetch.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"

namespace burdockdeck::gateway {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration check_interval = std::chrono::milliseconds(100);
// Control sends something at least every 400 ms; three misses mean a silent connection.
constexpr duration watch_silence = std::chrono::milliseconds(1300);
constexpr duration first_backoff = std::chrono::milliseconds(100);
constexpr duration longest_backoff = std::chrono::milliseconds(1500);
constexpr duration report_timeout = std::chrono::milliseconds(800);
// Time for one lost instance and for the answer of the next.
constexpr duration confirm_patience = first_fetch_patience + std::chrono::milliseconds(300);
// Instances that no seed and no other instance names any more are left after this time.
constexpr duration forget_after = std::chrono::seconds(20);

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
    // The version that it told last.
    std::uint64_t version = 0;
    std::uint64_t serial = 0;
    time_point heard{};
    time_point named{};
    time_point retry_at{};
    duration backoff = first_backoff;
    bool connected = false;
    bool leading = false;
};

}  // namespace

struct site_client::state : std::enable_shared_from_this<site_client::state> {
    state(runtime::loop& l, const gateway_settings& s, runtime::rpc_access a, callbacks t)
        : on(l), settings(s), access(std::move(a)), to(std::move(t)) {}

    runtime::loop& on;
    gateway_settings settings;
    runtime::rpc_access access;
    callbacks to;
    std::map<std::string, control_instance> instances;
    known_text text;
    fetch_state fetch;
    bool heard_up_to_date = false;
    // Until when somebody waits to hear whether `text` is the newest.
    std::optional<time_point> confirm_until;
    // Updates that arrived before one of an instance that is up to date.
    std::vector<rpc::site_update> held_back;
    bool stopped = false;
    std::mt19937_64 rng{std::random_device{}()};

    void name(const std::string& address, time_point now) {
        instances[address].named = now;
    }

    void name_seeds(time_point now) {
        for (const settings::endpoint& seed : settings.seeds) {
            name(to_text(settings::endpoint{seed.ip, settings.control_rpc_port}), now);
        }
    }

    void open(const std::string& address, control_instance& c, time_point now) {
        c.channel = runtime::open_channel(address, access);
        c.stub = rpc::control::NewStub(c.channel);
        auto call = std::make_shared<watch_call>();
        access.add_credentials(call->context);
        call->request.set_name(settings.name);
        call->request.set_known_version(text.version);
        const std::uint64_t serial = ++c.serial;
        c.heard = now;
        auto self = shared_from_this();
        call->on_update = [self, address, serial](rpc::site_update update) {
            boost::asio::post(self->on.context(),
                              [self, address, serial, update = std::move(update)]() mutable {
                                  self->take(address, serial, std::move(update));
                              });
        };
        call->on_end = [self, address, serial](const std::string& why) {
            boost::asio::post(self->on.context(),
                              [self, address, serial, why] { self->lose(address, serial, why); });
        };
        c.call = call;
        call->start(*c.stub, call);
    }

    void take(const std::string& address, std::uint64_t serial, rpc::site_update update) {
        control_instance& c = instances[address];
        if (stopped || serial != c.serial) {
            return;
        }
        const time_point now = runtime::boot_now();
        c.heard = now;
        c.backoff = first_backoff;
        c.leading = update.leading();
        c.version = update.version();
        if (!c.connected) {
            c.connected = true;
            log_event(severity::info, event::control_regained,
                      {{"control", address}, {"version", update.version()}});
        }
        for (const std::string& other : update.control_addresses()) {
            name(other, now);
        }
        // An instance that is not up to date may be behind for long: nothing is taken before one
        // was heard that is.
        held_back.push_back(std::move(update));
        heard_up_to_date = heard_up_to_date || held_back.back().up_to_date();
        if (!heard_up_to_date) {
            return;
        }
        std::vector<rpc::site_update> ready;
        ready.swap(held_back);
        for (rpc::site_update& u : ready) {
            to.updated(std::move(u));
        }
        fetch_if_needed(now);
    }

    [[nodiscard]] std::vector<told_version> told() const {
        std::vector<told_version> out;
        for (const auto& [address, c] : instances) {
            if (c.stub != nullptr && c.connected) {
                out.push_back({address, c.version});
            }
        }
        return out;
    }

    [[nodiscard]] std::uint64_t told_by(const std::string& address) const {
        const auto found = instances.find(address);
        return found == instances.end() ? 0 : found->second.version;
    }

    // Begins a fetch if an instance told of a newer version, or if somebody waits to hear that none
    // is there.
    void fetch_if_needed(time_point now) {
        if (stopped || !heard_up_to_date) {
            end_confirm(0, now);
            return;
        }
        const std::uint64_t wanted = confirm_until ? text.version : text.version + 1;
        const auto from = begin_fetch(fetch, told(), wanted, now, rng);
        if (from) {
            runtime::spawn(
                on, [self = shared_from_this(), address = *from, stub = instances[*from].stub] {
                    return self->fetch_from(address, stub);
                });
        } else if (!fetch.under_way || (confirm_until && now >= *confirm_until)) {
            end_confirm(0, now);
        }
    }

    void end_confirm(std::uint64_t version, time_point asked_at) {
        if (confirm_until) {
            confirm_until.reset();
            to.confirmed(version, asked_at);
        }
    }

    boost::asio::awaitable<void> fetch_from(std::string address,
                                            std::shared_ptr<rpc::control::Stub> stub) {
        const time_point began = runtime::boot_now();
        const auto start = [&stub](auto... arguments) {
            stub->async()->fetch_deployment(arguments...);
        };
        rpc::fetch_deployment_request request;
        request.set_known_version(fetch.whole ? 0 : text.version);
        auto answer = co_await runtime::call_unary<rpc::fetch_deployment_reply>(
            on.context(), access, std::move(request), fetch.patience, start);
        if (stopped) {
            co_return;
        }
        fetch_outcome outcome = fetch_outcome::nothing_new;
        std::string failed;
        if (!succeeded(answer)) {
            outcome = fetch_outcome::lost;
            failed = error(answer).message;
        } else if (const auto taken = take_reply(text, value(answer)); !succeeded(taken)) {
            outcome = fetch_outcome::bad_patch;
            failed = error(taken).message;
        } else if (value(taken)) {
            outcome = fetch_outcome::taken;
            log_event(severity::info, event::deployment_fetched,
                      {{"control", address},
                       {"version", text.version},
                       {"base_version", value(answer).base_version()},
                       {"bytes", static_cast<std::uint64_t>(value(answer).patch().size())},
                       {"took_ms", to_milliseconds(runtime::boot_now() - began)}});
            to.deployed(text.version, text.text, value(answer).up_to_date() ? began : time_point{});
        } else if (value(answer).up_to_date() && told_by(address) <= text.version) {
            outcome = fetch_outcome::confirmed;
        }
        if (!failed.empty()) {
            log_event(severity::warning, event::fetch_failed,
                      {{"control", address}, {"version", text.version}, {"reason", failed}});
        }
        end_fetch(fetch, address, outcome, runtime::boot_now());
        if (succeeded(answer) && failed.empty() && value(answer).up_to_date()) {
            end_confirm(text.version, began);
        }
        fetch_if_needed(runtime::boot_now());
    }

    void lose(const std::string& address, std::uint64_t serial, const std::string& why) {
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
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        c.retry_at =
            runtime::boot_now() + std::chrono::duration_cast<duration>(c.backoff * jitter(rng));
        c.backoff = std::min(c.backoff * 2, longest_backoff);
    }

    void check(time_point now) {
        name_seeds(now);
        for (auto& [address, c] : instances) {
            if (c.call && now - c.heard > watch_silence) {
                lose(address, c.serial, "silent");
            } else if (!c.call && now >= c.retry_at) {
                open(address, c, now);
            }
        }
        fetch_if_needed(now);
        std::erase_if(instances, [&](const auto& item) {
            return !item.second.connected && now - item.second.named > forget_after;
        });
    }

    boost::asio::awaitable<void> keep_watching() {
        const auto self = shared_from_this();
        while (!stopped) {
            check(runtime::boot_now());
            co_await runtime::sleep_for(check_interval);
        }
    }
};

site_client::site_client(runtime::loop& on, const gateway_settings& settings,
                         runtime::rpc_access access, callbacks to)
    : state_(std::make_shared<state>(on, settings, std::move(access), std::move(to))) {}

site_client::~site_client() = default;

void site_client::start() {
    runtime::spawn(state_->on, [s = state_] { return s->keep_watching(); });
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

void site_client::confirm() {
    const time_point now = runtime::boot_now();
    state_->confirm_until = now + confirm_patience;
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
        struct delivery {
            grpc::ClientContext context;
            rpc::demand_report request;
            rpc::acknowledgement reply;
        };
        auto d = std::make_shared<delivery>();
        d->request = report;
        d->context.set_deadline(
            std::chrono::system_clock::now() +
            std::chrono::duration_cast<std::chrono::microseconds>(report_timeout));
        state_->access.add_credentials(d->context);
        // A lost report is made up for by the next one.
        c.stub->async()->report_demand(&d->context, &d->request, &d->reply,
                                       [d](const grpc::Status&) {});
    }
}

}  // namespace burdockdeck::gateway
