// The services of an instance without a data folder: it tells where the members are.
#include "directory.h"
#include "runtime/clock.h"
#include "services.h"
#include "unary.h"
#include "watcher.h"

namespace burdockdeck::control {

namespace {

using site_stream = update_stream<rpc::site_update>;

class directory_peer_service : public rpc::control_peer::CallbackService {
public:
    explicit directory_peer_service(instance& i) : instance_(i) {}

    grpc::ServerUnaryReactor* join(grpc::CallbackServerContext* context, const rpc::join_request*,
                                   rpc::join_reply* reply) override {
        return on_loop(instance_, context, [this, reply](auto* reactor) {
            for (const std::string& address : instance_.members->members) {
                reply->add_addresses(address);
            }
            reactor->Finish(grpc::Status::OK);
        });
    }

    grpc::ServerUnaryReactor* exchange_members(grpc::CallbackServerContext* context,
                                               const rpc::member_list* request,
                                               rpc::member_list* reply) override {
        return on_loop(instance_, context, [this, request, reply](auto* reactor) {
            record_report(*instance_.members, *request, runtime::boot_now());
            *reply = report_known_members(instance_);
            reactor->Finish(grpc::Status::OK);
        });
    }

private:
    instance& instance_;
};

class directory_control_service : public rpc::control::CallbackService {
public:
    explicit directory_control_service(instance& i) : instance_(i) {}

    // Sends the members' addresses in one update, then ends the stream.
    grpc::ServerWriteReactor<rpc::site_update>* watch_site(
        grpc::CallbackServerContext* context, const rpc::watch_site_request*) override {
        auto w = std::make_shared<site_stream>(0);
        w->keep_alive(w);
        w->on_end = [] {};
        w->on_idle = [] {};
        if (!instance_.access.allows(*context)) {
            w->end(grpc::Status(grpc::StatusCode::UNAUTHENTICATED,
                                "the shared key is missing or wrong"));
            return w.get();
        }
        instance_.loop.post([this, w] {
            rpc::site_update update;
            update.set_directory(true);
            for (const std::string& address : instance_.members->members) {
                update.add_control_addresses(address);
            }
            w->send(std::move(update), 0);
            w->end(grpc::Status::OK);
        });
        return w.get();
    }

private:
    instance& instance_;
};

}  // namespace

std::unique_ptr<grpc::Service> make_directory_peer_service(instance& i) {
    return std::make_unique<directory_peer_service>(i);
}

std::unique_ptr<grpc::Service> make_directory_control_service(instance& i) {
    return std::make_unique<directory_control_service>(i);
}

}  // namespace burdockdeck::control
