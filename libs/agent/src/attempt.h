// One attempt to run a request, and the streams that carry its answer. The whole answer is buffered
// until some time after its end, so that a broken stream can be resumed at its offset over another
// connection. Traffic loops append and gRPC threads read; a mutex guards the shared state.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "base/checksum.h"
#include "base/time.h"
#include "runtime/rpc.h"
#include "runtime/trace.h"
#include "services.grpc.pb.h"

namespace burdockdeck::agent {

// Queue statistics sent with every frame.
struct queue_report {
    std::atomic<std::uint32_t> queued_tokens{0};
    std::atomic<std::uint32_t> running{0};
    std::atomic<std::uint32_t> queued{0};
    std::atomic<std::uint64_t> table_revision{0};
};

class answer_stream;

enum class attempt_state { waiting, running, preempted, ended };

// Invariants: the answer only grows, and does not change after the end. An attempt that ended as
// not_run was never executed by the upstream.
class attempt {
public:
    attempt(std::uint64_t queue_number, rpc::run_request run);

    const std::uint64_t number;
    const rpc::run_request request;

    // --- Queries
    [[nodiscard]] bool ended() const;
    [[nodiscard]] std::size_t answer_bytes() const;
    // Number of complete server-sent events in the answer so far.
    [[nodiscard]] std::uint64_t events() const;
    // True if all streams have been detached; `since` is the time of the last detachment.
    [[nodiscard]] bool orphaned_since(time_point& since) const;

    // --- Commands
    // With `flush`, the status and the data are sent immediately. Without it, they are buffered
    // until a later call sends them, so that a short answer takes a single frame.
    void begin_answer(unsigned status, const std::string& content_type, bool flush);
    void append(std::string_view bytes, bool flush);
    // Ends the attempt. Later calls have no effect.
    void end(rpc::run_outcome outcome, const std::string& message, duration retry_after = {});
    void attach(const std::shared_ptr<answer_stream>& stream);
    void detach(const std::shared_ptr<answer_stream>& stream, time_point now);
    // Sends a frame without data on streams that have written nothing since `before`.
    void heartbeat(time_point before);
    // Releases the buffered answer. Later resumptions end with run_unknown.
    void drop_answer();

    // Used on the control loop only.
    attempt_state state = attempt_state::waiting;
    std::uint32_t interruptions = 0;
    bool stop_requested = false;
    bool holds_adapter = false;
    time_point enqueued{};
    time_point started{};
    std::int64_t enqueued_wall_ns = 0;
    runtime::trace_context span;

private:
    friend class answer_stream;

    void pump_all();
    // Fills in the next frame for a stream at `offset`; false if there is nothing to send.
    [[nodiscard]] bool next_frame(rpc::frame& out, std::uint64_t offset, bool head_sent) const;

    mutable std::mutex mutex_;
    unsigned status_ = 0;
    std::string content_type_;
    std::string answer_;
    running_checksum checksum_;
    std::uint64_t events_ = 0;
    bool answer_dropped_ = false;
    bool ended_ = false;
    rpc::final_frame final_;
    std::set<std::shared_ptr<answer_stream>> streams_;
    time_point unattached_since_{};
};

// Stream of frames to one entry.
class answer_stream : public grpc::ServerWriteReactor<rpc::frame>,
                      public std::enable_shared_from_this<answer_stream> {
public:
    answer_stream(const queue_report& report, std::uint64_t offset)
        : report_(report), offset_(offset) {}

    void keep_alive() {
        self_ = shared_from_this();
    }
    // Sends the answer of `a`, beginning at this stream's offset.
    void follow(const std::shared_ptr<attempt>& a);
    // Ends the stream with one final frame; no attempt is attached.
    void refuse(rpc::run_outcome outcome, const std::string& message, duration retry_after = {});
    void fail(const grpc::Status& status);
    // Sends the next frame, unless a write is in progress.
    void pump();
    void heartbeat(time_point before);

    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    void write(std::unique_lock<std::mutex>& lock);
    void finish(std::unique_lock<std::mutex>& lock, const grpc::Status& status);

    const queue_report& report_;
    std::mutex mutex_;
    std::shared_ptr<attempt> attempt_;
    std::uint64_t offset_;
    std::uint64_t sequence_ = 0;
    bool head_sent_ = false;
    bool writing_ = false;
    bool final_queued_ = false;
    bool finished_ = false;
    bool cancelled_ = false;
    time_point last_write_{};
    rpc::frame frame_;
    std::shared_ptr<answer_stream> self_;
};

}  // namespace burdockdeck::agent
