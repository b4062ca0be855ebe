// Buffers answers and sends them as frames. Lock order: a stream's mutex before its attempt's.
#include "attempt.h"

#include <algorithm>
#include <vector>

namespace burdockdeck::agent {

namespace {

// Limit on the data in one frame.
constexpr std::size_t max_frame_bytes = 256 * 1024;

std::uint64_t count_events(std::string_view bytes) {
    std::uint64_t count = 0;
    for (std::size_t at = bytes.find("\n\n"); at != std::string_view::npos;
         at = bytes.find("\n\n", at + 2)) {
        ++count;
    }
    return count;
}

}  // namespace

attempt::attempt(std::uint64_t queue_number, rpc::run_request run)
    : number(queue_number), request(std::move(run)) {}

bool attempt::ended() const {
    const std::lock_guard lock(mutex_);
    return ended_;
}

std::size_t attempt::answer_bytes() const {
    const std::lock_guard lock(mutex_);
    return answer_.size();
}

std::uint64_t attempt::events() const {
    const std::lock_guard lock(mutex_);
    return events_;
}

bool attempt::orphaned_since(time_point& since) const {
    const std::lock_guard lock(mutex_);
    since = unattached_since_;
    return streams_.empty() && unattached_since_ != time_point{};
}

void attempt::begin_answer(unsigned http_status, const std::string& content_type, bool flush) {
    {
        const std::lock_guard lock(mutex_);
        if (status_ != 0) {
            return;
        }
        status_ = http_status;
        content_type_ = content_type;
    }
    if (flush) {
        pump_all();
    }
}

void attempt::append(std::string_view bytes, bool flush) {
    if (bytes.empty()) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        if (ended_) {
            return;
        }
        answer_ += bytes;
        checksum_.update(bytes);
        events_ += count_events(bytes);
    }
    if (flush) {
        pump_all();
    }
}

void attempt::end(rpc::run_outcome outcome, const std::string& message, duration retry_after) {
    {
        const std::lock_guard lock(mutex_);
        if (ended_) {
            return;
        }
        ended_ = true;
        final_.set_outcome(outcome);
        final_.set_message(message);
        final_.set_length(answer_.size());
        final_.set_checksum(checksum_.value());
        final_.set_retry_after_ms(static_cast<std::uint32_t>(to_milliseconds(retry_after)));
    }
    pump_all();
}

void attempt::attach(const std::shared_ptr<answer_stream>& stream) {
    const std::lock_guard lock(mutex_);
    streams_.insert(stream);
}

void attempt::detach(const std::shared_ptr<answer_stream>& stream, time_point now) {
    const std::lock_guard lock(mutex_);
    streams_.erase(stream);
    if (streams_.empty()) {
        unattached_since_ = now;
    }
}

void attempt::heartbeat(time_point before) {
    std::vector<std::shared_ptr<answer_stream>> streams;
    {
        const std::lock_guard lock(mutex_);
        streams.assign(streams_.begin(), streams_.end());
    }
    for (const auto& s : streams) {
        s->heartbeat(before);
    }
}

void attempt::drop_answer() {
    const std::lock_guard lock(mutex_);
    answer_dropped_ = true;
    answer_ = std::string();
}

void attempt::pump_all() {
    std::vector<std::shared_ptr<answer_stream>> streams;
    {
        const std::lock_guard lock(mutex_);
        streams.assign(streams_.begin(), streams_.end());
    }
    for (const auto& s : streams) {
        s->pump();
    }
}

bool attempt::next_frame(rpc::frame& out, std::uint64_t offset, bool head_sent) const {
    const std::lock_guard lock(mutex_);
    out.Clear();
    if (answer_dropped_) {
        out.mutable_final()->set_outcome(rpc::run_unknown);
        out.mutable_final()->set_message("the answer is no longer kept for resumption");
        return true;
    }
    const bool new_head = !head_sent && status_ != 0;
    const bool new_data = offset < answer_.size();
    if (!new_head && !new_data && !ended_) {
        return false;
    }
    if (new_head) {
        out.set_status(status_);
        out.set_content_type(content_type_);
    }
    out.set_offset(offset);
    const std::size_t size =
        new_data ? std::min<std::size_t>(max_frame_bytes, answer_.size() - offset) : 0;
    if (new_data) {
        out.set_data(answer_.substr(offset, size));
    }
    if (ended_ && offset + size >= answer_.size()) {
        *out.mutable_final() = final_;
    }
    return true;
}

void answer_stream::follow(const std::shared_ptr<attempt>& a) {
    {
        const std::lock_guard lock(mutex_);
        if (cancelled_) {
            return;
        }
        attempt_ = a;
    }
    a->attach(shared_from_this());
    bool ended = false;
    {
        const std::lock_guard lock(mutex_);
        ended = finished_;
    }
    if (ended) {
        a->detach(shared_from_this(), std::chrono::steady_clock::now());
        return;
    }
    pump();
}

void answer_stream::refuse(rpc::run_outcome outcome, const std::string& message,
                           duration retry_after) {
    std::unique_lock lock(mutex_);
    if (cancelled_ || finished_) {
        return;
    }
    frame_.Clear();
    frame_.mutable_final()->set_outcome(outcome);
    frame_.mutable_final()->set_message(message);
    frame_.mutable_final()->set_retry_after_ms(
        static_cast<std::uint32_t>(to_milliseconds(retry_after)));
    write(lock);
}

void answer_stream::fail(const grpc::Status& status) {
    std::unique_lock lock(mutex_);
    finish(lock, status);
}

void answer_stream::pump() {
    std::unique_lock lock(mutex_);
    if (writing_ || final_queued_ || finished_ || cancelled_ || !attempt_) {
        return;
    }
    if (!attempt_->next_frame(frame_, offset_, head_sent_)) {
        return;
    }
    head_sent_ = head_sent_ || frame_.status() != 0;
    offset_ += frame_.data().size();
    write(lock);
}

void answer_stream::heartbeat(time_point before) {
    std::unique_lock lock(mutex_);
    if (writing_ || final_queued_ || finished_ || cancelled_ || last_write_ > before) {
        return;
    }
    frame_.Clear();
    frame_.set_offset(offset_);
    write(lock);
}

// Starts the write of frame_. Called with the lock held; releases it.
void answer_stream::write(std::unique_lock<std::mutex>& lock) {
    frame_.set_sequence(++sequence_);
    frame_.set_queued_tokens(report_.queued_tokens);
    frame_.set_running(report_.running);
    frame_.set_queued(report_.queued);
    frame_.set_table_revision(report_.table_revision);
    writing_ = true;
    final_queued_ = frame_.has_final();
    last_write_ = std::chrono::steady_clock::now();
    lock.unlock();
    StartWrite(&frame_);
}

void answer_stream::finish(std::unique_lock<std::mutex>& lock, const grpc::Status& status) {
    if (finished_) {
        return;
    }
    finished_ = true;
    lock.unlock();
    Finish(status);
}

void answer_stream::OnWriteDone(bool ok) {
    {
        std::unique_lock lock(mutex_);
        writing_ = false;
        if (!ok || final_queued_ || cancelled_) {
            finish(lock, grpc::Status::OK);
            return;
        }
    }
    pump();
}

void answer_stream::OnCancel() {
    std::unique_lock lock(mutex_);
    cancelled_ = true;
    if (!writing_) {
        finish(lock, grpc::Status::CANCELLED);
    }
}

void answer_stream::OnDone() {
    std::shared_ptr<attempt> followed;
    {
        const std::lock_guard lock(mutex_);
        followed = attempt_;
    }
    if (followed) {
        followed->detach(shared_from_this(), std::chrono::steady_clock::now());
    }
    self_.reset();
}

}  // namespace burdockdeck::agent
