// Calls of entries, agents, gateways and operators. An instance that is not the leader forwards
// calls that only the leader can answer.
#include "catalog/catalog.h"
#include "document/document.h"
#include "placement/plan.h"
#include "replace.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "send_permits.h"
#include "services.h"
#include "site.h"
#include "status.h"
#include "unary.h"
#include "watcher.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration forward_timeout = std::chrono::milliseconds(1200);

// Returns why a trial's document does not fit the current fleet; empty if it fits.
std::string trial_refusal(const instance& i, const schema::document& next) {
    const placement::trial_result t = placement::try_document(i.raft->state().current().document(),
                                                              next, agent_views(i.raft->state()));
    return t.fits ? "" : t.reason;
}

class control_service : public rpc::control::CallbackService {
public:
    explicit control_service(instance& i) : instance_(i) {}

    grpc::ServerUnaryReactor* submit(grpc::CallbackServerContext* context,
                                     const rpc::submit_request* request,
                                     rpc::submit_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            if (instance_.raft->is_leader()) {
                submit_as_leader(*request, *reply, reactor);
                return;
            }
            reply->set_leader_address(instance_.raft->leader_address());
            reply->set_status(rpc::submit_reply::not_leader);
            forward_to_leader(&async_stub::submit, *request, reply, reactor,
                              [reply] { reply->set_status(rpc::submit_reply::fate_unknown); });
        });
    }

    grpc::ServerUnaryReactor* renew(grpc::CallbackServerContext* context,
                                    const rpc::renew_request* request,
                                    rpc::renew_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            instance_.metrics.count("burdockdeck_renewals_total");
            if (instance_.raft->is_leader()) {
                *reply = control::renew(instance_.leader_fleet, instance_.raft->state(), *request,
                                        runtime::boot_now());
                reactor->Finish(grpc::Status::OK);
                return;
            }
            reply->set_status(rpc::renew_reply::no_leader);
            forward_to_leader(&async_stub::renew, *request, reply, reactor);
        });
    }

    grpc::ServerUnaryReactor* permit(grpc::CallbackServerContext* context,
                                     const rpc::permit_request* request,
                                     rpc::permit_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            reply->set_retry_after_ms(default_retry_ms);
            if (instance_.raft->is_leader()) {
                permit_as_leader(*request, *reply, reactor);
                return;
            }
            forward_to_leader(&async_stub::permit, *request, reply, reactor);
        });
    }

    grpc::ServerWriteReactor<schema::table_update>* watch(
        grpc::CallbackServerContext* context, const rpc::watch_request* request) override {
        const bool same_cluster = request->known_revision() > 0;
        auto w = std::make_shared<watcher>(same_cluster ? request->known_revision() : 0);
        w->keep_alive(w);
        if (!instance_.access.allows(*context)) {
            w->on_end = [] {};
            w->end(grpc::Status(grpc::StatusCode::UNAUTHENTICATED,
                                "the shared key is missing or wrong"));
            return w.get();
        }
        const std::weak_ptr<watcher> weak = w;
        w->on_end = [this, weak] {
            if (const auto ended = weak.lock()) {
                instance_.loop.post([this, ended] { instance_.watchers.erase(ended); });
            }
        };
        w->on_idle = [this] { instance_.loop.post([this] { update_watchers(instance_); }); };
        instance_.loop.post([this, w] { open_watch(w); });
        return w.get();
    }

    grpc::ServerUnaryReactor* status(grpc::CallbackServerContext* context,
                                     const rpc::status_request* request,
                                     rpc::status_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            fill_status(instance_, *reply);
            forward_to_leader(&async_stub::status, *request, reply, reactor);
        });
    }

    grpc::ServerUnaryReactor* explain(grpc::CallbackServerContext* context,
                                      const rpc::explain_request* request,
                                      rpc::explain_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            fill_explain(instance_, request->model(), *reply);
            forward_to_leader(&async_stub::explain, *request, reply, reactor);
        });
    }

    grpc::ServerUnaryReactor* replace(grpc::CallbackServerContext* context,
                                      const rpc::replace_request* request,
                                      rpc::replace_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            replace_member(instance_, *request, [reply, reactor](rpc::replace_reply answer) {
                *reply = std::move(answer);
                reactor->Finish(grpc::Status::OK);
            });
        });
    }

    grpc::ServerWriteReactor<rpc::site_update>* watch_site(
        grpc::CallbackServerContext* context, const rpc::watch_site_request* request) override {
        auto w = std::make_shared<site_watcher>(0);
        w->keep_alive(w);
        w->on_end = [] {};
        if (!instance_.access.allows(*context)) {
            w->end(grpc::Status(grpc::StatusCode::UNAUTHENTICATED,
                                "the shared key is missing or wrong"));
            return w.get();
        }
        const std::weak_ptr<site_watcher> weak = w;
        w->on_end = [this, weak] {
            if (const auto ended = weak.lock()) {
                instance_.loop.post([this, ended] {
                    if (instance_.site) {
                        instance_.site->watchers.erase(ended);
                    }
                });
            }
        };
        w->on_idle = [this, weak] {
            instance_.loop.post([this, weak] {
                const auto idle = weak.lock();
                if (idle != nullptr && instance_.site) {
                    update_site_watcher(instance_, idle);
                }
            });
        };
        instance_.loop.post([this, w, request = *request] {
            if (instance_.stopping || !instance_.site) {
                w->end(grpc::Status(grpc::StatusCode::UNAVAILABLE, "no site is served here"));
                return;
            }
            open_site_watch(instance_, w, request);
        });
        return w.get();
    }

    grpc::ServerUnaryReactor* fetch_deployment(grpc::CallbackServerContext* context,
                                               const rpc::fetch_deployment_request* request,
                                               rpc::fetch_deployment_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            if (instance_.site) {
                *reply = answer_fetch(instance_, request->known_version());
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* read_software(grpc::CallbackServerContext* context,
                                            const rpc::read_software_request*,
                                            rpc::read_software_reply* reply) override {
        return on_loop(instance_, context, [this, reply](auto* reactor) {
            control::read_software(instance_, [reply, reactor](rpc::read_software_reply answer) {
                *reply = std::move(answer);
                reactor->Finish(grpc::Status::OK);
            });
        });
    }

    grpc::ServerUnaryReactor* report_demand(grpc::CallbackServerContext* context,
                                            const rpc::demand_report* request,
                                            rpc::acknowledgement*) override {
        return on_loop(instance_, context, [this, request](auto* reactor) {
            if (instance_.site) {
                instance_.site->demand[request->gateway()] = {*request, runtime::boot_now()};
                withdraw_leaving(instance_, *request);
                record_limits(instance_, *request);
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* permit_send(grpc::CallbackServerContext* context,
                                          const rpc::permit_send_request* request,
                                          rpc::permit_send_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            if (instance_.site) {
                *reply = answer_permit(instance_, *request);
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* report_crashes(grpc::CallbackServerContext* context,
                                             const rpc::crash_report* request,
                                             rpc::acknowledgement*) override {
        return on_loop(instance_, context, [this, request](auto* reactor) {
            if (instance_.site) {
                merge_crash_report(instance_, *request);
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

private:
    static constexpr std::uint32_t default_retry_ms = 300;

    using async_stub = rpc::control::StubInterface::async_interface;

    template <class Request, class Reply>
    using leader_call = void (async_stub::*)(grpc::ClientContext*, const Request*, Reply*,
                                             std::function<void(grpc::Status)>);

    // Forwards a call to the leader, whose answer replaces `reply`. If no leader is known or the
    // call was already forwarded, `reply` stays unchanged. `on_answer_lost` is called if the
    // leader's answer is lost.
    template <class Request, class Reply>
    void forward_to_leader(std::type_identity_t<leader_call<Request, Reply>> method,
                           const Request& request, Reply* reply, grpc::ServerUnaryReactor* reactor,
                           std::function<void()> on_answer_lost = {}) {
        const std::shared_ptr<rpc::control::Stub> leader =
            request.forwarded() ? nullptr : leader_stub(instance_);
        if (leader == nullptr) {
            reactor->Finish(grpc::Status::OK);
            return;
        }
        Request forwarded_request = request;
        forwarded_request.set_forwarded(true);
        runtime::spawn(instance_.loop,
                       [this, method, forwarded_request, leader, reply, reactor,
                        on_answer_lost]() -> boost::asio::awaitable<void> {
                           const auto start = [&](auto... arguments) {
                               (leader->async()->*method)(arguments...);
                           };
                           Request copy = forwarded_request;
                           auto answer = co_await runtime::call_unary<Reply>(
                               instance_.loop.context(), instance_.access, std::move(copy),
                               forward_timeout, start);
                           if (succeeded(answer)) {
                               *reply = std::move(value(answer));
                           } else {
                               // The connection may be dead without an error; the next call opens a
                               // new one.
                               instance_.leader_stubs.clear();
                               if (on_answer_lost) {
                                   on_answer_lost();
                               }
                           }
                           reactor->Finish(grpc::Status::OK);
                       });
    }

    void submit_as_leader(const rpc::submit_request& request, rpc::submit_reply& reply,
                          grpc::ServerUnaryReactor* reactor) {
        const schema::command& command = request.command();
        if (command.has_trial()) {
            const std::string refusal = trial_refusal(instance_, command.trial().document());
            if (!refusal.empty()) {
                reply.set_status(rpc::submit_reply::applied);
                reply.mutable_reply()->set_status(schema::status_refused);
                reply.mutable_reply()->set_message("the document does not fit: " + refusal);
                reactor->Finish(grpc::Status::OK);
                return;
            }
        }
        instance_.raft->submit(command, [this, command, &reply, reactor](
                                            submit_outcome outcome, schema::command_reply answer) {
            record_command(command, outcome, answer);
            // This callback runs right after the command's own entry is applied.
            reply.set_log_index(instance_.raft->applied());
            reply.set_log_term(instance_.raft->applied_term());
            *reply.mutable_reply() = std::move(answer);
            switch (outcome) {
                case submit_outcome::applied:
                    reply.set_status(rpc::submit_reply::applied);
                    break;
                case submit_outcome::not_leader:
                    reply.set_status(rpc::submit_reply::not_leader);
                    break;
                case submit_outcome::unknown:
                    reply.set_status(rpc::submit_reply::fate_unknown);
                    break;
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

    // Records operators' and agents' commands in the fleet's events.
    void record_command(const schema::command& command, submit_outcome outcome,
                        const schema::command_reply& answer) {
        if (outcome != submit_outcome::applied || answer.status() != schema::status_done) {
            return;
        }
        fleet& f = instance_.leader_fleet;
        if (command.has_promote()) {
            record_event(f, "document " + command.promote().document().label() +
                                " promoted at revision " + std::to_string(answer.revision()));
        } else if (command.has_register_agent()) {
            const auto& r = command.register_agent().registration();
            log_event(severity::info, event::agent_registered,
                      {{"agent", r.name()}, {"incarnation", r.incarnation()}});
            record_event(f, "agent " + r.name() + ": registered");
            f.leases[r.name()] = {r.incarnation(), runtime::boot_now(), 0, 0, 0};
        } else if (command.has_leaving()) {
            log_event(severity::info, event::agent_leaving, {{"agent", command.leaving().agent()}});
            record_event(f, "agent " + command.leaving().agent() +
                                (command.leaving().leaving() ? ": leaving" : ": back in service"));
        }
    }

    void permit_as_leader(const rpc::permit_request& request, rpc::permit_reply& reply,
                          grpc::ServerUnaryReactor* reactor) {
        schema::command command;
        schema::permit_command& p = *command.mutable_permit();
        p.set_order_id(request.order_id());
        p.set_agent(request.agent());
        p.set_incarnation(request.incarnation());
        p.set_release(request.release());
        fleet& f = instance_.leader_fleet;
        const std::uint32_t lease_ms =
            static_cast<std::uint32_t>(to_milliseconds(f.settings.permit_lease));
        if (!request.release()) {
            const permit_answer answer =
                decide_permit(f, instance_.raft->state(), request.order_id(), runtime::boot_now());
            if (answer.decision == permit_decision::wait) {
                reply.set_retry_after_ms(
                    static_cast<std::uint32_t>(to_milliseconds(answer.retry_after) + 1));
                reactor->Finish(grpc::Status::OK);
                return;
            }
            if (answer.decision == permit_decision::granted) {
                reply.set_granted(true);
                reply.set_lease_ms(lease_ms);
                reactor->Finish(grpc::Status::OK);
                return;
            }
        }
        instance_.raft->submit(command, [&reply, reactor, lease_ms](submit_outcome outcome,
                                                                    schema::command_reply answer) {
            reply.set_granted(outcome == submit_outcome::applied &&
                              answer.status() == schema::status_done);
            reply.set_lease_ms(lease_ms);
            reactor->Finish(grpc::Status::OK);
        });
    }

    // The read barrier keeps a lagging or isolated instance from sending an old table.
    void open_watch(const std::shared_ptr<watcher>& w) {
        instance_.raft->read_barrier([this, w](bool confirmed) {
            if (!confirmed || instance_.stopping) {
                w->end(
                    grpc::Status(grpc::StatusCode::UNAVAILABLE, "isolated: no leader in contact"));
                return;
            }
            instance_.watchers.insert(w);
            w->send(catalog::table_since(instance_.raft->state(),
                                         instance_.raft->identity().cluster(), w->known()),
                    instance_.raft->state().revision());
        });
    }

    instance& instance_;
};

}  // namespace

std::unique_ptr<grpc::Service> make_control_service(instance& i) {
    return std::make_unique<control_service>(i);
}

}  // namespace burdockdeck::control
