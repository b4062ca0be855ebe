// burdockdeck: the command-line tool for operators.
#include <gflags/gflags.h>

#include <iostream>

#include "operator_cli/commands.h"

DEFINE_string(control, "", "control instances, a comma-separated list of IP:PORT");
DEFINE_string(key_file, "", "file whose first line is the shared key");
DEFINE_string(certificate_file, "", "file with the PEM certificate of this operator");
DEFINE_string(private_key_file, "", "file with the PEM private key of this operator");
DEFINE_string(authority_file, "", "file with the PEM certificate of the certificate authority");
DEFINE_bool(json, false, "print the result as JSON");
DEFINE_string(operation_id, "",
              "id of the operation; resending under the same id returns the first answer");
DEFINE_int32(timeout_ms, 15000, "maximum time to retry, in milliseconds");
DEFINE_string(environment, "", "bootstrap: environment that the cluster serves");
DEFINE_string(proof, "", "promote: id of the proof printed by trial");
DEFINE_bool(wait, true,
            "promote: wait until the document is in force at all recently seen subscribers");
DEFINE_string(lost, "", "replace: name of the lost control instance");
DEFINE_string(with, "", "replace: IP:PORT of the new control instance");

namespace {

using namespace burdockdeck;
using operator_cli::exit_status;

constexpr const char* usage_text = R"(burdockdeck COMMAND [flags]

  bootstrap --environment NAME     found a cluster of the instances in --control
  trial FILE                       check a document against the fleet and print a proof
  promote FILE --proof ID          put a document in force
  status                           leader, document, models, agents, subscribers, events
  explain model NAME               why a model is placed where it is
  explain request ID FILE...       the spans of a request, from span files
  drain AGENT                      take an agent out of service
  undrain AGENT                    put an agent back into service
  members                          list the control instances
  replace --lost NAME --with IP:PORT   replace a lost control instance with a new one

Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown.
Flags for all commands: --control IP:PORT,... --key_file FILE --json --operation_id ID --timeout_ms N
)";

exit_status usage(const std::string& problem) {
    std::cerr << problem << "\n\n" << usage_text;
    return exit_status::usage;
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::size_t at = 0;
    while (at <= text.size()) {
        const std::size_t end = std::min(text.find(',', at), text.size());
        if (end > at) {
            parts.push_back(text.substr(at, end - at));
        }
        at = end + 1;
    }
    return parts;
}

// The options from the flags, or an error message if a flag is invalid.
std::variant<operator_cli::options, std::string> options_from_flags() {
    operator_cli::options o;
    for (const std::string& text : split(FLAGS_control)) {
        const auto e = settings::parse_endpoint(text);
        if (!e) {
            return "--control: `" + text + "` is not an IP address and a port";
        }
        o.control.push_back(*e);
    }
    if (!FLAGS_key_file.empty()) {
        settings::map_reader reader = settings::map_reader::parse(
            "--key_file", "access: {key_file: '" + FLAGS_key_file + "'}");
        o.access = settings::get_access_settings(reader);
        if (const auto failed = reader.finish()) {
            return "--key_file: " + failed->message;
        }
    }
    o.access.certificate_file = FLAGS_certificate_file;
    o.access.private_key_file = FLAGS_private_key_file;
    o.access.authority_file = FLAGS_authority_file;
    o.json = FLAGS_json;
    o.operation_id = FLAGS_operation_id;
    o.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    return o;
}

exit_status explain(const operator_cli::options& o, const std::vector<std::string>& words) {
    if (words.size() >= 3 && words[1] == "model") {
        return operator_cli::explain_model(o, words[2], std::cout);
    }
    if (words.size() >= 4 && words[1] == "request") {
        return operator_cli::explain_request(o, words[2], {words.begin() + 3, words.end()},
                                             std::cout);
    }
    return usage("explain requires `model NAME` or `request ID FILE...`");
}

exit_status run(const operator_cli::options& o, const std::vector<std::string>& words) {
    const std::string& command = words[0];
    const std::string argument = words.size() > 1 ? words[1] : "";
    if (command == "explain") {
        return explain(o, words);
    }
    if (command == "status") {
        return operator_cli::status(o, std::cout);
    }
    if (command == "members") {
        return operator_cli::members(o, std::cout);
    }
    if (command == "bootstrap") {
        return FLAGS_environment.empty() ? usage("bootstrap requires --environment")
                                         : operator_cli::bootstrap(o, FLAGS_environment, std::cout);
    }
    if (command == "replace") {
        return FLAGS_lost.empty() || !settings::parse_endpoint(FLAGS_with)
                   ? usage("replace requires --lost NAME and --with IP:PORT")
                   : operator_cli::replace(o, FLAGS_lost, FLAGS_with, std::cout);
    }
    if (argument.empty()) {
        return usage("`" + command + "` is not a command, or its argument is missing");
    }
    if (command == "trial") {
        return operator_cli::trial(o, argument, std::cout);
    }
    if (command == "promote") {
        return operator_cli::promote(o, argument, FLAGS_proof, FLAGS_wait, std::cout);
    }
    if (command == "drain" || command == "undrain") {
        return operator_cli::drain(o, argument, command == "drain", std::cout);
    }
    return usage("`" + command + "` is not a command");
}

}  // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(usage_text);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty()) {
        return static_cast<int>(usage("no command given"));
    }
    const auto options = options_from_flags();
    if (const auto* problem = std::get_if<std::string>(&options)) {
        return static_cast<int>(usage(*problem));
    }
    const auto& o = std::get<operator_cli::options>(options);
    const bool offline = words[0] == "explain" && words.size() > 1 && words[1] == "request";
    if (o.control.empty() && !offline) {
        return static_cast<int>(usage("--control is required"));
    }
    return static_cast<int>(run(o, words));
}
