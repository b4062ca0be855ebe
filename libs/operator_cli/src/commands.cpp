// Commands as blocking gRPC calls, to one control instance at a time.
#include "operator_cli/commands.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <functional>
#include <future>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <thread>

#include "document/document.h"
#include "runtime/rpc.h"
#include "runtime/trace.h"
#include "services.grpc.pb.h"
#include "status_text.h"

namespace burdockdeck::operator_cli {

namespace {

namespace json = boost::json;

constexpr auto call_timeout = std::chrono::seconds(3);
constexpr auto retry_interval = std::chrono::milliseconds(200);

struct command_error {
    exit_status status = exit_status::refused;
    std::string message;
};

exit_status print_error(const options& o, const command_error& e, std::ostream& out) {
    if (o.json) {
        out << json::serialize(json::object{{"done", false}, {"message", e.message}}) << "\n";
    } else {
        out << (e.status == exit_status::outcome_unknown ? "outcome unknown: " : "refused: ")
            << e.message << "\n";
    }
    return e.status;
}

exit_status print_done(const options& o, json::object fields, const std::string& text,
                       std::ostream& out) {
    if (o.json) {
        fields["done"] = true;
        out << json::serialize(fields) << "\n";
    } else {
        out << text << "\n";
    }
    return exit_status::done;
}

result<runtime::rpc_access, command_error> create_access(const options& o) {
    auto access = runtime::rpc_access::create(o.access);
    if (!succeeded(access)) {
        return command_error{exit_status::usage, settings::to_text(error(access))};
    }
    return value(access);
}

template <class Reply>
struct call_answer {
    grpc::Status status;
    Reply reply;
};

// One blocking call to one control instance.
template <class Stub, class Reply, class Request>
call_answer<Reply> call(Stub& stub, const runtime::rpc_access& access, const Request& request,
                        grpc::Status (Stub::*method)(grpc::ClientContext*, const Request&, Reply*),
                        duration timeout) {
    call_answer<Reply> answer;
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() +
                         std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    access.add_credentials(context);
    answer.status = (stub.*method)(&context, request, &answer.reply);
    return answer;
}

std::unique_ptr<rpc::control::Stub> control_stub(const settings::endpoint& address,
                                                 const runtime::rpc_access& access) {
    return rpc::control::NewStub(runtime::open_channel(to_text(address), access));
}

std::string operation_id_of(const options& o) {
    return o.operation_id.empty() ? "op-" + runtime::random_hex(16) : o.operation_id;
}

// Resends the command until it is applied or the timeout passes. The operation id prevents a second
// application.
result<schema::command_reply, command_error> submit(const options& o, schema::command command) {
    const auto access = create_access(o);
    if (!succeeded(access)) {
        return error(access);
    }
    rpc::submit_request request;
    *request.mutable_command() = std::move(command);
    const auto timeout_at = std::chrono::steady_clock::now() + o.timeout;
    bool may_be_applied = false;
    std::string failure_reason = "no control instance answered";
    for (std::size_t i = 0; std::chrono::steady_clock::now() < timeout_at; ++i) {
        const auto stub = control_stub(o.control[i % o.control.size()], value(access));
        const auto answer = call<rpc::control::Stub, rpc::submit_reply>(
            *stub, value(access), request, &rpc::control::Stub::submit, call_timeout);
        if (answer.status.ok() && answer.reply.status() == rpc::submit_reply::applied) {
            return answer.reply.reply();
        }
        if (answer.status.error_code() == grpc::StatusCode::UNAUTHENTICATED) {
            return command_error{exit_status::refused, answer.status.error_message()};
        }
        const bool not_accepted =
            answer.status.ok() ? answer.reply.status() == rpc::submit_reply::not_leader
                               : answer.status.error_message().starts_with("failed to connect");
        may_be_applied = may_be_applied || !not_accepted;
        failure_reason = answer.status.ok() ? "no leader" : answer.status.error_message();
        std::this_thread::sleep_for(retry_interval);
    }
    return command_error{may_be_applied ? exit_status::outcome_unknown : exit_status::refused,
                         failure_reason + "; resend with --operation_id to learn its outcome"};
}

// Calls the instances in turn until a reply satisfies `accept`. If none does, returns the last
// reply received.
template <class Reply, class Request>
result<Reply, command_error> call_any(
    const options& o, const Request& request,
    grpc::Status (rpc::control::Stub::*method)(grpc::ClientContext*, const Request&, Reply*),
    const std::function<bool(const Reply&)>& accept) {
    const auto access = create_access(o);
    if (!succeeded(access)) {
        return error(access);
    }
    std::optional<Reply> fallback;
    std::string failure_reason = "no control instance answered";
    for (const settings::endpoint& address : o.control) {
        const auto stub = control_stub(address, value(access));
        const auto answer =
            call<rpc::control::Stub, Reply>(*stub, value(access), request, method, call_timeout);
        if (!answer.status.ok()) {
            failure_reason = to_text(address) + ": " + answer.status.error_message();
            continue;
        }
        if (accept(answer.reply)) {
            return answer.reply;
        }
        fallback = answer.reply;
    }
    if (fallback) {
        return *fallback;
    }
    return command_error{exit_status::refused, failure_reason};
}

result<rpc::status_reply, command_error> fetch_status(const options& o) {
    return call_any<rpc::status_reply, rpc::status_request>(
        o, {}, &rpc::control::Stub::status,
        [](const rpc::status_reply& r) { return !r.isolated() && r.leader_id() != 0; });
}

result<schema::document, command_error> read_document(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        return command_error{exit_status::usage, file + ": cannot be read"};
    }
    auto parsed = document::parse(file, text.str());
    if (!succeeded(parsed)) {
        return command_error{exit_status::refused, settings::to_text(error(parsed))};
    }
    return value(parsed);
}

// Waits until every subscriber seen within the last 10 s has `revision` in force; returns false
// after the timeout, with the names of the others in `lagging`.
bool wait_until_in_force(const options& o, std::uint64_t revision, std::string& lagging) {
    constexpr std::uint64_t recently_seen_ms = 10'000;
    const auto timeout_at = std::chrono::steady_clock::now() + o.timeout;
    while (std::chrono::steady_clock::now() < timeout_at) {
        const auto s = fetch_status(o);
        lagging.clear();
        if (succeeded(s)) {
            for (const rpc::subscriber_status& x : value(s).subscribers()) {
                const bool is_lagging =
                    x.revision_in_force() < revision && x.seen_ms_ago() < recently_seen_ms;
                lagging += is_lagging ? " " + x.name() : "";
            }
            if (lagging.empty()) {
                return true;
            }
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return false;
}

std::string string_or_empty(const json::object& o, std::string_view key) {
    const json::value* v = o.if_contains(key);
    return v != nullptr && v->is_string() ? std::string(v->as_string()) : "";
}

struct span_line {
    std::string trace_id;
    std::string name;
    std::string program;
    std::int64_t start_ns = 0;
    std::int64_t end_ns = 0;
    std::map<std::string, std::string> attributes;
};

std::optional<span_line> parse_span(const std::string& line) {
    boost::system::error_code failed;
    const json::value v = json::parse(line, failed);
    if (failed) {
        return std::nullopt;
    }
    try {
        const json::object& resource = v.at("resourceSpans").at(0).as_object();
        const json::object& span = resource.at("scopeSpans").at(0).at("spans").at(0).as_object();
        span_line s;
        s.trace_id = string_or_empty(span, "traceId");
        s.name = string_or_empty(span, "name");
        s.program = std::string(resource.at("resource")
                                    .at("attributes")
                                    .at(0)
                                    .at("value")
                                    .at("stringValue")
                                    .as_string());
        s.start_ns = std::stoll(string_or_empty(span, "startTimeUnixNano"));
        s.end_ns = std::stoll(string_or_empty(span, "endTimeUnixNano"));
        for (const json::value& a : span.at("attributes").as_array()) {
            s.attributes[std::string(a.at("key").as_string())] =
                std::string(a.at("value").at("stringValue").as_string());
        }
        return s;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}  // namespace

exit_status bootstrap(const options& o, const std::string& environment, std::ostream& out) {
    const auto access = create_access(o);
    if (!succeeded(access)) {
        return print_error(o, error(access), out);
    }
    rpc::found_request request;
    request.set_environment(environment);
    request.set_operation_id(operation_id_of(o));
    for (const settings::endpoint& address : o.control) {
        const auto stub =
            rpc::control_peer::NewStub(runtime::open_channel(to_text(address), value(access)));
        const auto answer = call<rpc::control_peer::Stub, rpc::identify_reply>(
            *stub, value(access), rpc::identify_request{}, &rpc::control_peer::Stub::identify,
            call_timeout);
        if (!answer.status.ok()) {
            return print_error(
                o, {exit_status::refused, to_text(address) + ": " + answer.status.error_message()},
                out);
        }
        const rpc::identify_reply& peer = answer.reply;
        if (peer.founded() && o.operation_id.empty()) {
            return print_error(o,
                               {exit_status::refused, peer.name() + " at " + to_text(address) +
                                                          " belongs to cluster " +
                                                          peer.identity().cluster() + " already"},
                               out);
        }
        schema::control_member& m = *request.add_members();
        m.set_id(peer.identity().node_id());
        m.set_name(peer.name());
        m.set_address(to_text(address));
        m.set_failure_domain(peer.failure_domain());
    }
    // Only the first instance receives the request. The others join when it sends them consensus
    // messages, which carry the node ids read above.
    const auto stub = rpc::control_peer::NewStub(
        runtime::open_channel(to_text(o.control.front()), value(access)));
    const auto answer = call<rpc::control_peer::Stub, rpc::found_reply>(
        *stub, value(access), request, &rpc::control_peer::Stub::found, call_timeout);
    if (!answer.status.ok()) {
        return print_error(o, {exit_status::outcome_unknown, answer.status.error_message()}, out);
    }
    if (!answer.reply.done()) {
        return print_error(o, {exit_status::refused, answer.reply.message()}, out);
    }
    return print_done(
        o, {{"cluster", answer.reply.cluster()}},
        "founded cluster " + answer.reply.cluster() + " for environment " + environment, out);
}

exit_status trial(const options& o, const std::string& file, std::ostream& out) {
    auto d = read_document(file);
    if (!succeeded(d)) {
        return print_error(o, error(d), out);
    }
    schema::command command;
    command.set_operation_id(operation_id_of(o));
    command.mutable_trial()->set_digest(document::digest(value(d)));
    *command.mutable_trial()->mutable_document() = value(d);
    const auto reply = submit(o, std::move(command));
    if (!succeeded(reply)) {
        return print_error(o, error(reply), out);
    }
    if (value(reply).status() != schema::status_done) {
        return print_error(o, {exit_status::refused, value(reply).message()}, out);
    }
    return print_done(o, {{"proof", value(reply).proof_id()}},
                      "proof " + value(reply).proof_id() + "\n" + value(reply).message(), out);
}

exit_status promote(const options& o, const std::string& file, const std::string& proof,
                    bool wait_for_all, std::ostream& out) {
    auto d = read_document(file);
    if (!succeeded(d)) {
        return print_error(o, error(d), out);
    }
    schema::command command;
    command.set_operation_id(operation_id_of(o));
    schema::promote_command& p = *command.mutable_promote();
    *p.mutable_document() = value(d);
    p.set_digest(document::digest(value(d)));
    p.set_proof_id(proof);
    const auto reply = submit(o, std::move(command));
    if (!succeeded(reply)) {
        return print_error(o, error(reply), out);
    }
    if (value(reply).status() != schema::status_done) {
        return print_error(o, {exit_status::refused, value(reply).message()}, out);
    }
    const std::uint64_t revision = value(reply).revision();
    std::string lagging;
    if (wait_for_all && !wait_until_in_force(o, revision, lagging)) {
        return print_error(
            o,
            {exit_status::outcome_unknown, "accepted at revision " + std::to_string(revision) +
                                               ", not yet in force at:" + lagging},
            out);
    }
    return print_done(
        o, {{"revision", revision}},
        "label " + value(d).label() + " in force at revision " + std::to_string(revision), out);
}

exit_status status(const options& o, std::ostream& out) {
    const auto s = fetch_status(o);
    if (!succeeded(s)) {
        return print_error(o, error(s), out);
    }
    if (o.json) {
        out << json::serialize(status_json(value(s))) << "\n";
    } else {
        print_status(value(s), out);
    }
    return value(s).isolated() ? exit_status::refused : exit_status::done;
}

exit_status explain_model(const options& o, const std::string& model, std::ostream& out) {
    rpc::explain_request request;
    request.set_model(model);
    const auto reply = call_any<rpc::explain_reply, rpc::explain_request>(
        o, request, &rpc::control::Stub::explain,
        [](const rpc::explain_reply& r) { return r.lines_size() > 0; });
    if (!succeeded(reply)) {
        return print_error(o, error(reply), out);
    }
    json::array lines;
    for (const std::string& line : value(reply).lines()) {
        lines.push_back(json::value(line));
        if (!o.json) {
            out << line << "\n";
        }
    }
    if (o.json) {
        out << json::serialize(json::object{{"model", model}, {"lines", lines}}) << "\n";
    }
    return exit_status::done;
}

exit_status explain_request(const options& o, const std::string& request,
                            const std::vector<std::string>& span_files, std::ostream& out) {
    std::vector<span_line> all;
    std::string trace;
    for (const std::string& file : span_files) {
        std::ifstream in(file);
        for (std::string line; std::getline(in, line);) {
            auto s = parse_span(line);
            if (s && s->attributes["request.id"] == request) {
                trace = s->trace_id;
            }
            if (s) {
                all.push_back(std::move(*s));
            }
        }
    }
    std::erase_if(all, [&](const span_line& s) { return trace.empty() || s.trace_id != trace; });
    if (all.empty()) {
        return print_error(o, {exit_status::refused, "no span of request `" + request + "`"}, out);
    }
    std::sort(all.begin(), all.end(),
              [](const span_line& a, const span_line& b) { return a.start_ns < b.start_ns; });
    json::array lines;
    for (const span_line& s : all) {
        const double start_offset_ms = static_cast<double>(s.start_ns - all.front().start_ns) / 1e6;
        const double took_ms = static_cast<double>(s.end_ns - s.start_ns) / 1e6;
        json::object attributes;
        std::string text;
        for (const auto& [key, attribute] : s.attributes) {
            attributes[key] = attribute;
            text.append(" ").append(key).append("=").append(attribute);
        }
        lines.push_back(json::object{{"name", s.name},
                                     {"program", s.program},
                                     {"start_ms", start_offset_ms},
                                     {"took_ms", took_ms},
                                     {"attributes", attributes}});
        if (!o.json) {
            out << "+" << start_offset_ms << " ms  " << s.program << " " << s.name << "  took "
                << took_ms << " ms " << text << "\n";
        }
    }
    if (o.json) {
        out << json::serialize(json::object{{"request", request}, {"spans", lines}}) << "\n";
    }
    return exit_status::done;
}

exit_status drain(const options& o, const std::string& agent, bool leaving, std::ostream& out) {
    schema::command command;
    command.set_operation_id(operation_id_of(o));
    command.mutable_leaving()->set_agent(agent);
    command.mutable_leaving()->set_leaving(leaving);
    const auto reply = submit(o, std::move(command));
    if (!succeeded(reply)) {
        return print_error(o, error(reply), out);
    }
    if (value(reply).status() != schema::status_done) {
        return print_error(o, {exit_status::refused, value(reply).message()}, out);
    }
    return print_done(o, {{"agent", agent}, {"leaving", leaving}},
                      agent + (leaving ? " is being taken out of service" : " is back in service"),
                      out);
}

exit_status members(const options& o, std::ostream& out) {
    const auto s = fetch_status(o);
    if (!succeeded(s)) {
        return print_error(o, error(s), out);
    }
    if (o.json) {
        out << json::serialize(status_json(value(s)).at("voters")) << "\n";
        return exit_status::done;
    }
    const auto print = [&](const char* role, const auto& list) {
        for (const schema::control_member& m : list) {
            out << std::left << std::setw(9) << role << std::setw(14) << m.name() << std::setw(22)
                << m.address() << std::setw(12) << m.failure_domain() << m.id()
                << (m.id() == value(s).leader_id() ? "  leader" : "") << "\n";
        }
    };
    print("voter", value(s).members().voters());
    print("outgoing", value(s).members().outgoing());
    print("learner", value(s).members().learners());
    return exit_status::done;
}

exit_status replace(const options& o, const std::string& lost, const std::string& address,
                    std::ostream& out) {
    const auto access = create_access(o);
    if (!succeeded(access)) {
        return print_error(o, error(access), out);
    }
    rpc::replace_request request;
    request.set_operation_id(operation_id_of(o));
    request.set_lost_name(lost);
    request.set_new_address(address);
    const auto timeout_at = std::chrono::steady_clock::now() + o.timeout;
    std::string failure_reason = "no control instance answered";
    for (std::size_t i = 0; std::chrono::steady_clock::now() < timeout_at; ++i) {
        const auto stub = control_stub(o.control[i % o.control.size()], value(access));
        const auto answer = call<rpc::control::Stub, rpc::replace_reply>(
            *stub, value(access), request, &rpc::control::Stub::replace, o.timeout);
        if (answer.status.ok() && answer.reply.done()) {
            return print_done(o, {{"lost", lost}, {"address", address}}, answer.reply.message(),
                              out);
        }
        const bool other_leader =
            answer.status.ok() && answer.reply.message().starts_with("not the leader");
        failure_reason =
            answer.status.ok() ? answer.reply.message() : answer.status.error_message();
        if (answer.status.ok() && !other_leader) {
            break;
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return print_error(o, {exit_status::refused, failure_reason}, out);
}

}  // namespace burdockdeck::operator_cli
