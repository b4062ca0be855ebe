// One attempt at a piece of work, and the streams that carry its answer. The answer is kept whole
// until some time after its end, so that a broken stream can go on at its offset on another
// connection. Traffic loops append, gRPC threads read; a mutex guards what both touch.
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

// Queue figures that ride on every frame.
struct queue_report {
    std::atomic<std::uint32_t> queued_tokens{0};
    std::atomic<std::uint32_t> running{0};
    std::atomic<std::uint32_t> queued{0};
    std::atomic<std::uint64_t> table_revision{0};
};

class answer_stream;

enum class attempt_state { waiting, running, preempted, ended };

// Invariants: `answer` only grows; once ended, nothing changes. An attempt that ended as not_run
// has never been started at the upstream.
class attempt {
public:
    attempt(std::uint64_t queue_number, rpc::run_request run);

    const std::uint64_t number;
    const rpc::run_request request;

    // --- Queries
    [[nodiscard]] bool ended() const;
    [[nodiscard]] std::size_t answer_bytes() const;
    // Whole server-sent events in the answer so far.
    [[nodiscard]] std::uint64_t events() const;
    // Since when no stream has been attached; nullopt while one is.
    [[nodiscard]] bool orphaned_since(time_point& since) const;

    // --- Commands
    // With `announce`, status and data go out at once; without, they wait for the next change that
    // does, so that a short answer takes a single frame.
    void begin_answer(unsigned status, const std::string& content_type, bool announce);
    void append(std::string_view bytes, bool announce);
    // The end of the attempt. Only the first call counts.
    void end(rpc::run_outcome outcome, const std::string& message, duration retry_after = {});
    void attach(const std::shared_ptr<answer_stream>& stream);
    void detach(const std::shared_ptr<answer_stream>& stream, time_point now);
    // Sends a frame without data on streams that have been quiet since `before`.
    void heartbeat(time_point before);
    // Drops the kept answer; later resumptions are told that it is gone.
    void forget();

    // Belongs to the control loop.
    attempt_state state = attempt_state::waiting;
    std::uint32_t preemptions = 0;
    bool stop_wanted = false;
    bool holds_adapter = false;
    time_point enqueued{};
    time_point started{};
    std::int64_t enqueued_wall_ns = 0;
    runtime::trace_context span;

private:
    friend class answer_stream;

    void pump_all();
    // The next frame for a stream at `offset`; false if there is nothing new.
    [[nodiscard]] bool next_frame(rpc::frame& out, std::uint64_t offset, bool head_sent) const;

    mutable std::mutex mutex_;
    unsigned status_ = 0;
    std::string content_type_;
    std::string answer_;
    running_checksum checksum_;
    std::uint64_t events_ = 0;
    bool forgotten_ = false;
    bool ended_ = false;
    rpc::final_frame final_;
    std::set<std::shared_ptr<answer_stream>> streams_;
    time_point unattached_since_{};
};

// One entry's stream of frames.
class answer_stream : public grpc::ServerWriteReactor<rpc::frame>,
                      public std::enable_shared_from_this<answer_stream> {
public:
    answer_stream(const queue_report& report, std::uint64_t offset)
        : report_(report), offset_(offset) {}

    void keep_alive() {
        self_ = shared_from_this();
    }
    // Follows `a` from this stream's offset on.
    void follow(const std::shared_ptr<attempt>& a);
    // Ends the stream with one final frame that belongs to no attempt.
    void refuse(rpc::run_outcome outcome, const std::string& message, duration retry_after = {});
    void fail(const grpc::Status& status);
    // Sends what is new, if nothing is being written.
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
    bool last_ = false;
    bool finished_ = false;
    bool cancelled_ = false;
    time_point last_write_{};
    rpc::frame frame_;
    std::shared_ptr<answer_stream> self_;
};

}  // namespace burdockdeck::agent
