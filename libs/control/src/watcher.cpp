// State of one watch stream.
#include "watcher.h"

namespace burdockdeck::control {

bool watcher::ready() {
    const std::lock_guard lock(mutex_);
    return !writing_ && !ended_;
}

void watcher::send(schema::table_update update) {
    {
        const std::lock_guard lock(mutex_);
        if (writing_ || ended_) {
            return;
        }
        writing_ = true;
        update_ = std::move(update);
        known_ = update_.revision();
    }
    StartWrite(&update_);
}

void watcher::end(const grpc::Status& status) {
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
    Finish(status);
}

void watcher::OnWriteDone(bool ok) {
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
    Finish(status_);
}

void watcher::OnCancel() {
    end(grpc::Status::CANCELLED);
}

void watcher::OnDone() {
    if (on_end) {
        on_end();
    }
    self_.reset();
}

}  // namespace burdockdeck::control
