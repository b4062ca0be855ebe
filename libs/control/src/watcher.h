// One subscriber's stream of updates. gRPC threads call the reactor's callbacks; a mutex guards the
// flags shared with the control loop.
#pragma once

#include <mutex>
#include <string>

#include "catalog.pb.h"
#include "runtime/rpc.h"

namespace burdockdeck::control {

template <class Update>
class update_stream : public grpc::ServerWriteReactor<Update>,
                      public std::enable_shared_from_this<update_stream<Update>> {
public:
    explicit update_stream(std::uint64_t known) : known_(known) {}

    // Called once, on a gRPC thread, after the stream has ended.
    std::function<void()> on_end;
    // Called on a gRPC thread when an update has been written and the next may be sent.
    std::function<void()> on_idle;

    void keep_alive(std::shared_ptr<update_stream> self) {
        self_ = std::move(self);
    }
    // The revision that the subscriber has: `known` of the last update sent.
    [[nodiscard]] std::uint64_t known() const {
        return known_;
    }
    // True if an update may be sent now.
    [[nodiscard]] bool ready() {
        const std::lock_guard lock(mutex_);
        return !writing_ && !ended_;
    }

    void send(Update update, std::uint64_t known) {
        {
            const std::lock_guard lock(mutex_);
            if (writing_ || ended_) {
                return;
            }
            writing_ = true;
            update_ = std::move(update);
            known_ = known;
        }
        this->StartWrite(&update_);
    }

    void end(const grpc::Status& status) {
        {
            const std::lock_guard lock(mutex_);
            if (ended_) {
                return;
            }
            ended_ = true;
            status_ = status;
            if (writing_) {
                return;
            }
            finished_ = true;
        }
        this->Finish(status);
    }

    void OnWriteDone(bool ok) override {
        bool idle = false;
        {
            const std::lock_guard lock(mutex_);
            writing_ = false;
            idle = ok && !ended_;
            ended_ = ended_ || !ok;
        }
        if (idle) {
            on_idle();
            return;
        }
        {
            const std::lock_guard lock(mutex_);
            if (finished_) {
                return;
            }
            finished_ = true;
        }
        this->Finish(status_);
    }

    void OnCancel() override {
        end(grpc::Status::CANCELLED);
    }

    void OnDone() override {
        if (on_end) {
            on_end();
        }
        self_.reset();
    }

private:
    std::mutex mutex_;
    std::uint64_t known_;
    Update update_;
    bool writing_ = false;
    bool ended_ = false;
    bool finished_ = false;
    grpc::Status status_;
    std::shared_ptr<update_stream> self_;
};

using watcher = update_stream<schema::table_update>;

}  // namespace burdockdeck::control
