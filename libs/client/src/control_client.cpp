// Calls with failover among control instances, and the watch stream that updates the table.
#include "client/control_client.h"

#include <boost/asio/post.hpp>
#include <random>

#include "runtime/http.h"
#include "runtime/log.h"
#include "services.grpc.pb.h"

namespace burdockdeck::client {

namespace {

namespace asio = boost::asio;
using runtime::rpc_error;

constexpr duration call_timeout = std::chrono::milliseconds(1500);
constexpr duration retry_interval = std::chrono::milliseconds(100);
// Control sends an update or a confirmation at least every second.
constexpr duration watch_idle_timeout = std::chrono::milliseconds(2500);
constexpr duration watch_check_interval = std::chrono::milliseconds(250);

using async_stub = rpc::control::StubInterface::async_interface;

template <class Request, class Reply>
using unary_call = void (async_stub::*)(grpc::ClientContext*, const Request*, Reply*,
                                        std::function<void(grpc::Status)>);

// One watch stream. Its callbacks run on gRPC threads and post to the loop.
class watch_call : public grpc::ClientReadReactor<schema::table_update>,
                   public std::enable_shared_from_this<watch_call> {
public:
    std::function<void(schema::table_update)> on_update;
    std::function<void(std::string)> on_end;
    grpc::ClientContext context;
    rpc::watch_request request;

    void start(rpc::control::Stub& stub) {
        self_ = shared_from_this();
        stub.async()->watch(&context, &request, this);
        StartRead(&update_);
        StartCall();
    }

    void OnReadDone(bool ok) override {
        if (!ok) {
            return;
        }
        on_update(update_);
        StartRead(&update_);
    }

    void OnDone(const grpc::Status& status) override {
        on_end(status.error_message());
        self_.reset();
    }

private:
    schema::table_update update_;
    std::shared_ptr<watch_call> self_;
};

}  // namespace

struct control_client::state : std::enable_shared_from_this<control_client::state> {
    struct instance {
        std::string address;
        std::shared_ptr<grpc::Channel> channel;
        std::unique_ptr<rpc::control::Stub> stub;
    };

    state(runtime::loop& l, runtime::rpc_access a) : event_loop(l), access(std::move(a)) {}

    runtime::loop& event_loop;
    runtime::rpc_access access;
    std::vector<instance> instances;
    std::size_t preferred = 0;
    std::string name;
    table current;
    std::function<void(const table&)> changed;
    std::function<void()> confirmed;
    std::shared_ptr<watch_call> watching;
    std::uint64_t watch_generation = 0;
    std::size_t watch_index = 0;
    time_point watch_last_activity{};
    bool watch_confirmed = false;
    bool stopped = false;

    rpc::control::Stub& stub(std::size_t index) {
        instance& i = instances[index];
        if (i.stub == nullptr) {
            i.channel = runtime::open_channel(i.address, access);
            i.stub = rpc::control::NewStub(i.channel);
        }
        return *i.stub;
    }

    // Calls the preferred instance once, and disconnects from it if the call fails.
    template <class Reply, class Request>
    asio::awaitable<result<Reply, rpc_error>> call_preferred(
        Request request, std::type_identity_t<unary_call<Request, Reply>> method) {
        const auto self = shared_from_this();
        const std::size_t index = preferred;
        rpc::control::Stub& to = stub(index);
        const auto start = [&to, method](auto... arguments) {
            (to.async()->*method)(arguments...);
        };
        auto answer = co_await runtime::call_unary<Reply>(event_loop.context(), access,
                                                          std::move(request), call_timeout, start);
        if (!succeeded(answer)) {
            disconnect(index);
        }
        co_return answer;
    }

    // Drops the connection to an instance, which may no longer answer, and prefers the next one.
    void disconnect(std::size_t index) {
        instances[index].stub.reset();
        instances[index].channel.reset();
        if (preferred == index) {
            preferred = (preferred + 1) % instances.size();
        }
    }

    void open_watch() {
        if (stopped) {
            return;
        }
        const std::uint64_t generation = ++watch_generation;
        watch_index = preferred;
        watch_last_activity = std::chrono::steady_clock::now();
        watch_confirmed = false;
        auto call = std::make_shared<watch_call>();
        access.add_credentials(call->context);
        call->request.set_name(name);
        call->request.set_known_revision(current.revision);
        call->request.set_cluster(current.cluster);
        auto self = shared_from_this();
        call->on_update = [self, generation](schema::table_update update) {
            asio::post(self->event_loop.context(), [self, generation, update = std::move(update)] {
                if (generation == self->watch_generation) {
                    self->handle_update(update);
                }
            });
        };
        call->on_end = [self, generation](std::string why) {
            asio::post(self->event_loop.context(), [self, generation, why = std::move(why)] {
                if (generation == self->watch_generation) {
                    self->close_watch(why);
                }
            });
        };
        watching = call;
        call->start(stub(watch_index));
    }

    void handle_update(const schema::table_update& update) {
        watch_last_activity = std::chrono::steady_clock::now();
        if (!watch_confirmed) {
            watch_confirmed = true;
            runtime::log_event(
                runtime::severity::info, runtime::event::watch_opened,
                {{"control", instances[watch_index].address}, {"revision", update.revision()}});
        }
        const std::uint64_t document_before = current.current.revision();
        switch (apply(current, update)) {
            case update_effect::applied:
                if (current.current.revision() != document_before) {
                    runtime::log_event(runtime::severity::info, runtime::event::document_in_force,
                                       {{"label", current.current.document().label()},
                                        {"revision", current.current.revision()}});
                }
                changed(current);
                confirmed();
                break;
            case update_effect::unchanged:
                confirmed();
                break;
            case update_effect::refused_older:
                close_watch("update refused: older revision than the one in force");
                break;
            case update_effect::refused_mismatch:
                close_watch("update refused: another cluster, or a delta on an unknown revision");
                break;
        }
    }

    void close_watch(const std::string& why) {
        runtime::log_event(runtime::severity::info, runtime::event::watch_lost,
                           {{"control", instances[watch_index].address}, {"reason", why}});
        ++watch_generation;
        if (watching) {
            watching->context.TryCancel();
            watching.reset();
        }
        disconnect(watch_index);
    }

    // Opens a watch when there is none, and closes one without updates for watch_idle_timeout.
    asio::awaitable<void> run_watch_loop() {
        const auto self = shared_from_this();
        while (!stopped) {
            if (!watching) {
                open_watch();
            } else if (std::chrono::steady_clock::now() - watch_last_activity >
                       watch_idle_timeout) {
                close_watch("silent");
            }
            co_await runtime::sleep_for(watch_check_interval);
        }
    }
};

control_client::control_client(runtime::loop& event_loop, std::vector<settings::endpoint> control,
                               runtime::rpc_access access)
    : state_(std::make_shared<state>(event_loop, std::move(access))) {
    for (const settings::endpoint& e : control) {
        state_->instances.push_back({to_text(e), nullptr, nullptr});
    }
    // A random start spreads the clients over the instances.
    std::random_device device;
    state_->preferred = device() % state_->instances.size();
}

control_client::~control_client() = default;

asio::awaitable<result<schema::command_reply, rpc_error>> control_client::submit(
    schema::command command, duration timeout) {
    const std::shared_ptr<state> s = state_;
    const time_point deadline = std::chrono::steady_clock::now() + timeout;
    rpc_error last{true, "no control instance answered in time"};
    bool sent = false;
    while (std::chrono::steady_clock::now() < deadline && !s->stopped) {
        const std::size_t index = s->preferred;
        rpc::submit_request request;
        *request.mutable_command() = command;
        auto answer =
            co_await s->call_preferred<rpc::submit_reply>(std::move(request), &async_stub::submit);
        if (!succeeded(answer)) {
            last = error(answer);
            sent = sent || !last.not_sent;
        } else if (value(answer).status() == rpc::submit_reply::applied) {
            co_return value(answer).reply();
        } else {
            sent = sent || value(answer).status() == rpc::submit_reply::fate_unknown;
            last.message = "the control instance has no leader";
            s->preferred = (index + 1) % s->instances.size();
        }
        co_await runtime::sleep_for(retry_interval);
    }
    last.not_sent = !sent;
    co_return last;
}

asio::awaitable<result<rpc::renew_reply, rpc_error>> control_client::renew(
    rpc::renew_request request) {
    const std::shared_ptr<state> s = state_;
    const std::size_t called = s->preferred;
    auto answer =
        co_await s->call_preferred<rpc::renew_reply>(std::move(request), &async_stub::renew);
    if (succeeded(answer) && value(answer).status() == rpc::renew_reply::no_leader) {
        s->preferred = (called + 1) % s->instances.size();
    }
    co_return answer;
}

asio::awaitable<result<rpc::permit_reply, rpc_error>> control_client::permit(
    rpc::permit_request request) {
    const std::shared_ptr<state> s = state_;
    co_return co_await s->call_preferred<rpc::permit_reply>(std::move(request),
                                                            &async_stub::permit);
}

void control_client::watch(const std::string& name, std::function<void(const table&)> changed,
                           std::function<void()> confirmed) {
    state_->name = name;
    state_->changed = std::move(changed);
    state_->confirmed = std::move(confirmed);
    runtime::spawn(state_->event_loop, [s = state_] { return s->run_watch_loop(); });
}

const table& control_client::current() const {
    return state_->current;
}

void control_client::stop() {
    state_->stopped = true;
    ++state_->watch_generation;
    if (state_->watching) {
        state_->watching->context.TryCancel();
        state_->watching.reset();
    }
}

}  // namespace burdockdeck::client
