// Writes key=value lines through Boost.Log, limited by the byte budget, and never blocks on a slow
// reader.
#include "runtime/log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <mutex>
#include <optional>

#include "runtime/clock.h"
#include "runtime/log_budget.h"

namespace burdockdeck::runtime {

namespace {

namespace logging = boost::log;
namespace expressions = boost::log::expressions;

// A pipe reported as writable accepts this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t max_line_bytes = 4096;
// Estimated size of time, program, process id and level, which precede the event in each line.
constexpr std::size_t line_prefix_bytes = 90;

constexpr name_table<severity, 4> severity_names{{
    {severity::debug, "debug"},
    {severity::info, "info"},
    {severity::warning, "warning"},
    {severity::error, "error"},
}};

std::string quoted(const std::string& value) {
    if (!value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos) {
        return value;
    }
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out + "\"";
}

using logger = logging::sources::severity_logger<severity>;

// Writes to a file descriptor only while it accepts bytes without blocking.
class descriptor_backend
    : public logging::sinks::basic_formatted_sink_backend<char,
                                                          logging::sinks::concurrent_feeding> {
public:
    explicit descriptor_backend(int descriptor) : descriptor_(descriptor) {}

    void consume(const logging::record_view& /*record*/, const string_type& line) {
        written_ = flush_partial_line() && write_line(line);
    }
    // True if the last line was written, at least in part; a later call writes the rest.
    [[nodiscard]] bool written() const {
        return written_;
    }

private:
    [[nodiscard]] bool is_writable() const {
        pollfd polled{descriptor_, POLLOUT, 0};
        return ::poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
    }

    // Writes what the descriptor accepts without blocking; returns the number of bytes.
    [[nodiscard]] std::size_t write_some(std::string_view bytes) const {
        if (!is_writable()) {
            return 0;
        }
        const ssize_t n = ::write(descriptor_, bytes.data(), bytes.size());
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

    bool flush_partial_line() {
        if (!unwritten_.empty()) {
            unwritten_.erase(0, write_some(unwritten_));
        }
        return unwritten_.empty();
    }

    bool write_line(const std::string& line) {
        std::string bytes = line.substr(0, max_line_bytes - 1) + "\n";
        const std::size_t count = write_some(bytes);
        if (count > 0) {
            unwritten_ = bytes.substr(count);
        }
        return count > 0;
    }

    int descriptor_;
    // Remainder of a partially written line.
    std::string unwritten_;
    bool written_ = true;
};

using descriptor_sink = logging::sinks::unlocked_sink<descriptor_backend>;

// `mutex` guards all members but `debug`, so that lines of several threads do not interleave.
struct log_state {
    std::mutex mutex;
    logger source;
    boost::shared_ptr<descriptor_backend> backend;
    log_budget budget;
    // Read without the mutex, so that disabled debug lines are not formatted.
    std::atomic<bool> debug{false};
};

log_state& log_instance() {
    static log_state instance;
    return instance;
}

line_priority priority_of(severity s, event e) {
    switch (e) {
        case event::request_ended:
            return s == severity::info ? line_priority::served : line_priority::failed;
        case event::adapter_loaded:
        case event::order_sent:
        case event::order_done:
        case event::order_planned:
        case event::claim_settled:
            return line_priority::served;
        case event::request_refused:
        case event::attempt_failed:
        case event::answer_cut:
        case event::answer_skipped:
        case event::answer_header_invalid:
        case event::attempt_retried:
        case event::attempt_resumed:
        case event::adapter_refused:
        case event::order_failed:
        case event::order_unanswered:
        case event::claim_failed:
        case event::access_refused:
        case event::read_refused:
        case event::announcement_refused:
        case event::engine_crash_suspected:
        case event::request_quarantined:
            return line_priority::failed;
        default:
            return line_priority::change;
    }
}

// The mutex must be held. True if the line was written, at least in part.
bool write_line(log_state& log, severity s, std::string_view text) {
    logging::record record = log.source.open_record(logging::keywords::severity = s);
    if (!record) {
        return false;
    }
    logging::record_ostream line(record);
    line << "level=" << name_in(severity_names, s) << " " << text;
    line.flush();
    log.source.push_record(std::move(record));
    return log.backend == nullptr || log.backend->written();
}

void report_dropped(log_state& log, time_point now) {
    for (const dropped_lines& d : take_dropped(log.budget, now)) {
        const std::string text =
            format_event(event::lines_dropped, {{"of", d.event}, {"count", d.count}});
        if (!write_line(log, severity::warning, text)) {
            log.budget.dropped[d.event] += d.count;
        }
    }
}

}  // namespace

std::optional<std::string> open_log(const std::string& program, const log_options& options) {
    log_state& log = log_instance();
    const std::lock_guard<std::mutex> lock(log.mutex);
    int descriptor = STDOUT_FILENO;
    if (!options.file.empty()) {
        constexpr mode_t readable_by_all = 0644;
        descriptor =
            ::open(options.file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | O_NONBLOCK,
                   readable_by_all);
        if (descriptor < 0) {
            return "log file " + options.file + " cannot be opened";
        }
    }
    log.backend = boost::make_shared<descriptor_backend>(descriptor);
    log.budget = make_log_budget(std::max<std::uint64_t>(1, options.bytes_per_second), boot_now());
    log.debug = options.debug;
    auto sink = boost::make_shared<descriptor_sink>(log.backend);
    sink->set_formatter(expressions::stream
                        << "time="
                        << expressions::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                        << " program=" << program << " pid=" << ::getpid() << " "
                        << expressions::smessage);
    logging::core::get()->add_sink(sink);
    logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    return std::nullopt;
}

std::string format_event(event e, std::initializer_list<field> fields) {
    std::string line = "event=";
    line += name_in(event_names, e);
    for (const field& f : fields) {
        line += ' ';
        line += f.key;
        line += '=';
        line += quoted(f.value);
    }
    return line;
}

void log_event(severity s, event e, std::initializer_list<field> fields) {
    log_state& log = log_instance();
    if (s == severity::debug && !log.debug) {
        return;
    }
    const std::string text = format_event(e, fields);
    const std::string_view name = name_in(event_names, e);
    const std::lock_guard<std::mutex> lock(log.mutex);
    if (log.backend == nullptr) {
        return;
    }
    const time_point now = boot_now();
    report_dropped(log, now);
    if (!admit_line(log.budget, name, priority_of(s, e), line_prefix_bytes + text.size(), now)) {
        return;
    }
    if (!write_line(log, s, text)) {
        record_dropped_line(log.budget, name);
    }
}

}  // namespace burdockdeck::runtime
