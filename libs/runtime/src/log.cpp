// Boost.Log set up for key=value lines.
#include "runtime/log.h"

#include <unistd.h>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>

namespace burdockdeck::runtime {

namespace {

namespace logging = boost::log;
namespace expressions = boost::log::expressions;

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

using logger = logging::sources::severity_logger_mt<severity>;

logger& the_logger() {
    static logger instance;
    return instance;
}

}  // namespace

void open_log(const std::string& program, const std::string& file, bool debug) {
    const auto format = expressions::stream
                        << "time="
                        << expressions::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                        << " program=" << program << " pid=" << ::getpid() << " "
                        << expressions::smessage;
    if (file.empty()) {
        logging::add_console_log(std::cout, logging::keywords::format = format,
                                 logging::keywords::auto_flush = true);
    } else {
        logging::add_file_log(
            logging::keywords::file_name = file, logging::keywords::open_mode = std::ios::app,
            logging::keywords::format = format, logging::keywords::auto_flush = true);
    }
    logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    if (!debug) {
        logging::core::get()->set_filter(expressions::attr<severity>("Severity") >= severity::info);
    }
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
    logging::record record = the_logger().open_record(logging::keywords::severity = s);
    if (!record) {
        return;
    }
    logging::record_ostream line(record);
    line << "level=" << name_in(severity_names, s) << " " << format_event(e, fields);
    line.flush();
    the_logger().push_record(std::move(record));
}

}  // namespace burdockdeck::runtime
