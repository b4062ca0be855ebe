// Boost.Log set up for key=value lines, within a budget of bytes and without ever waiting for a
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

// A pipe that has room at all takes this much without waiting (PIPE_BUF of Linux).
constexpr std::size_t longest_line = 4096;
// Time, program, process and level, which stand before the event in each line.
constexpr std::size_t line_head_bytes = 90;

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

// Writes to a descriptor only while it takes bytes without waiting.
class descriptor_backend
    : public logging::sinks::basic_formatted_sink_backend<char,
                                                          logging::sinks::concurrent_feeding> {
public:
    explicit descriptor_backend(int descriptor) : descriptor_(descriptor) {}

    void consume(const logging::record_view& /*record*/, const string_type& line) {
        written_ = finish_torn_line() && write_line(line);
    }
    // Whether the last line is on its way.
    [[nodiscard]] bool written() const {
        return written_;
    }

private:
    [[nodiscard]] bool takes_bytes() const {
        pollfd asked{descriptor_, POLLOUT, 0};
        return ::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
    }

    // Bytes that the descriptor took at once.
    [[nodiscard]] std::size_t put(std::string_view bytes) const {
        if (!takes_bytes()) {
            return 0;
        }
        const ssize_t n = ::write(descriptor_, bytes.data(), bytes.size());
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

    bool finish_torn_line() {
        if (!rest_.empty()) {
            rest_.erase(0, put(rest_));
        }
        return rest_.empty();
    }

    bool write_line(const std::string& line) {
        std::string bytes = line.substr(0, longest_line - 1) + "\n";
        const std::size_t taken = put(bytes);
        if (taken > 0) {
            rest_ = bytes.substr(taken);
        }
        return taken > 0;
    }

    int descriptor_;
    // End of a line of which a part has been written.
    std::string rest_;
    bool written_ = true;
};

using descriptor_sink = logging::sinks::unlocked_sink<descriptor_backend>;

// All but `debug` is guarded by `guard`: lines of several threads go out one after another.
struct log_state {
    std::mutex guard;
    logger source;
    boost::shared_ptr<descriptor_backend> backend;
    log_budget budget;
    // Read without the guard, so that lines nobody wants are not even formatted.
    std::atomic<bool> debug{false};
};

log_state& the_log() {
    static log_state instance;
    return instance;
}

line_worth worth_of(severity s, event e) {
    switch (e) {
        case event::request_ended:
            return s == severity::info ? line_worth::served : line_worth::failed;
        case event::adapter_loaded:
        case event::order_sent:
        case event::order_done:
        case event::order_planned:
        case event::claim_settled:
            return line_worth::served;
        case event::request_refused:
        case event::attempt_failed:
        case event::attempt_retried:
        case event::attempt_resumed:
        case event::adapter_refused:
        case event::order_failed:
        case event::order_unanswered:
        case event::claim_failed:
        case event::access_refused:
        case event::read_refused:
        case event::announcement_refused:
            return line_worth::failed;
        default:
            return line_worth::change;
    }
}

// Needs the guard. True if the line is on its way.
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

void report_omitted(log_state& log, time_point now) {
    for (const omitted_lines& o : take_omitted(log.budget, now)) {
        const std::string text =
            format_event(event::lines_dropped, {{"of", o.event}, {"count", o.count}});
        if (!write_line(log, severity::warning, text)) {
            log.budget.omitted[o.event] += o.count;
        }
    }
}

}  // namespace

std::optional<std::string> open_log(const std::string& program, const log_options& options) {
    log_state& log = the_log();
    const std::lock_guard<std::mutex> lock(log.guard);
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
    log_state& log = the_log();
    if (s == severity::debug && !log.debug) {
        return;
    }
    const std::string text = format_event(e, fields);
    const std::string_view name = name_in(event_names, e);
    const std::lock_guard<std::mutex> lock(log.guard);
    if (log.backend == nullptr) {
        return;
    }
    const time_point now = boot_now();
    report_omitted(log, now);
    if (!admit_line(log.budget, name, worth_of(s, e), line_head_bytes + text.size(), now)) {
        return;
    }
    if (!write_line(log, s, text)) {
        note_unwritten(log.budget, name);
    }
}

}  // namespace burdockdeck::runtime
