// Separates refusals from answers, and complete events from the rest of a stream.
#include "answer_sink.h"

#include "base/text.h"
#include "upstream_protocol.h"

namespace burdockdeck::agent {

namespace {

// An answer up to this size is sent in one frame, when it is complete.
constexpr std::size_t small_answer_bytes = 64 * 1024;
constexpr std::size_t max_refusal_bytes = 512;

}  // namespace

bool answer_sink::is_refusal() const {
    return a_->request.kind() == rpc::work_completion && engine_refused(status_);
}

void answer_sink::head(unsigned status, const runtime::header_list& headers) {
    status_ = status;
    runtime::http_request probe;
    probe.headers = headers;
    // The entry parses only messages whose text is UTF-8.
    const std::string content_type = to_utf8(probe.header("Content-Type"));
    events_ = content_type.starts_with("text/event-stream");
    ends_with_connection_ =
        probe.header("Content-Length").empty() && probe.header("Transfer-Encoding").empty();
    if (!is_refusal()) {
        a_->begin_answer(status, content_type, events_);
    }
}

bool answer_sink::body(std::string_view bytes) {
    if (is_refusal()) {
        refusal_ += bytes.substr(0, max_refusal_bytes);
        return true;
    }
    if (a_->answer_bytes() + bytes.size() > limit_) {
        return false;
    }
    if (!events_) {
        a_->append(bytes, a_->answer_bytes() > small_answer_bytes);
        return true;
    }
    pending_ += bytes;
    const std::size_t last_event_end = pending_.rfind("\n\n");
    if (last_event_end != std::string::npos) {
        a_->append(std::string_view(pending_).substr(0, last_event_end + 2), true);
        pending_.erase(0, last_event_end + 2);
    }
    return true;
}

bool answer_sink::finish() {
    // Streams whose lines end with CRLF are passed on when they end.
    const bool crlf_end = pending_.ends_with("\r\n\r\n");
    if (!crlf_end && pending_.find_first_not_of("\r\n") != std::string::npos) {
        return false;
    }
    const bool no_event = events_ && pending_.empty() && a_->events() == 0;
    if (no_event && ends_with_connection_ && !is_refusal()) {
        return false;
    }
    a_->append(pending_, false);
    return true;
}

}  // namespace burdockdeck::agent
