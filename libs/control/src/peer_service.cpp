// Calls between control instances: consensus messages, identity, founding, read index, joining and
// relayed announcements.
#include "directory.h"
#include "runtime/log.h"
#include "services.h"
#include "site.h"
#include "unary.h"

namespace burdockdeck::control {

namespace {

class peer_service : public rpc::control_peer::CallbackService {
public:
    explicit peer_service(instance& i) : instance_(i) {}

    grpc::ServerUnaryReactor* deliver(grpc::CallbackServerContext* context,
                                      const schema::raft_message* request,
                                      rpc::acknowledgement*) override {
        return on_loop(instance_, context, [this, request](auto* reactor) {
            instance_.raft->receive(*request);
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* identify(grpc::CallbackServerContext* context,
                                       const rpc::identify_request*,
                                       rpc::identify_reply* reply) override {
        return on_loop(instance_, context, [this, reply](auto* reactor) {
            *reply->mutable_identity() = instance_.raft->identity();
            reply->set_name(instance_.settings.name);
            reply->set_address(to_text(instance_.settings.advertise));
            reply->set_failure_domain(instance_.settings.failure_domain);
            reply->set_founded(instance_.raft->node() != nullptr);
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* found(grpc::CallbackServerContext* context,
                                    const rpc::found_request* request,
                                    rpc::found_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            answer_found(*request, *reply);
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* read_index(grpc::CallbackServerContext* context,
                                         const rpc::read_index_request*,
                                         rpc::read_index_reply* reply) override {
        return on_loop(instance_, context, [this, reply](auto* reactor) {
            instance_.raft->confirm_index([reply, reactor](bool confirmed, std::uint64_t index) {
                reply->set_leader(confirmed);
                reply->set_index(index);
                reactor->Finish(grpc::Status::OK);
            });
        });
    }

    grpc::ServerUnaryReactor* join(grpc::CallbackServerContext* context,
                                   const rpc::join_request* request,
                                   rpc::join_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            if (instance_.site) {
                *reply = answer_join(instance_, *request);
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* leave(grpc::CallbackServerContext* context,
                                    const rpc::leave_request* request,
                                    rpc::leave_reply* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            if (instance_.site) {
                reply->set_may_stop(answer_leave(instance_, request->node_id()));
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* relay(grpc::CallbackServerContext* context,
                                    const rpc::announcement_relay* request,
                                    rpc::acknowledgement*) override {
        return on_loop(instance_, context, [this, request](auto* reactor) {
            for (const schema::upstream_announcement& a : request->announcements()) {
                if (instance_.site) {
                    merge_announcement(instance_, a, true);
                }
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* known_upstreams(grpc::CallbackServerContext* context,
                                              const rpc::known_upstreams_request*,
                                              rpc::announcement_relay* reply) override {
        return on_loop(instance_, context, [this, reply](auto* reactor) {
            if (instance_.site) {
                *reply = all_announcements(instance_);
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* exchange_members(grpc::CallbackServerContext* context,
                                               const rpc::member_list*,
                                               rpc::member_list* reply) override {
        return on_loop(instance_, context, [this, reply](auto* reactor) {
            *reply = report_members(instance_);
            reactor->Finish(grpc::Status::OK);
        });
    }

private:
    void answer_found(const rpc::found_request& request, rpc::found_reply& reply) {
        const bool resent = !request.operation_id().empty() &&
                            request.operation_id() == instance_.founding_operation;
        if (!resent) {
            const auto founded = instance_.raft->found(request);
            if (!succeeded(founded)) {
                reply.set_message(error(founded));
                return;
            }
            instance_.founding_operation = request.operation_id();
        }
        reply.set_done(true);
        reply.set_cluster(instance_.raft->identity().cluster());
    }

    instance& instance_;
};

}  // namespace

std::unique_ptr<grpc::Service> make_peer_service(instance& i) {
    return std::make_unique<peer_service>(i);
}

}  // namespace burdockdeck::control
