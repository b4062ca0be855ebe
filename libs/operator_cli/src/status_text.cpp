// Formats the status reply of a control instance as text for operators and as JSON for scripts.
#include "status_text.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <string>

namespace burdockdeck::operator_cli {

namespace json = boost::json;

namespace {

std::string instances_text(const google::protobuf::RepeatedPtrField<schema::model_instance>& list) {
    std::string text;
    for (const schema::model_instance& i : list) {
        text += (text.empty() ? "" : ",") + i.model() + "@" + i.version();
    }
    return text.empty() ? "-" : text;
}

std::string standing_of(const schema::agent_record& a) {
    if (!a.live()) {
        return "gone";
    }
    return a.leaving() || a.drained() ? "leaving" : "serving";
}

json::array instances_json(const google::protobuf::RepeatedPtrField<schema::model_instance>& list) {
    json::array out;
    for (const schema::model_instance& i : list) {
        out.push_back(json::object{{"model", i.model()}, {"version", i.version()}});
    }
    return out;
}

void print_models(const rpc::status_reply& s, std::ostream& out) {
    out << "models:\n";
    for (const schema::model& m : s.current().document().models()) {
        int resident = 0;
        int current = 0;
        for (const schema::agent_record& a : s.agents()) {
            for (const schema::model_instance& i : a.resident()) {
                resident += i.model() == m.name() ? 1 : 0;
                current += i.model() == m.name() && i.version() == m.version() ? 1 : 0;
            }
        }
        out << "  " << std::left << std::setw(24) << m.name() << " version " << m.version()
            << "  replicas " << current << " of " << m.min_replicas() << ".." << m.max_replicas()
            << (resident == 0 ? "  UNREACHABLE" : "") << "\n";
    }
}

}  // namespace

json::object status_json(const rpc::status_reply& s) {
    json::array agents;
    for (const schema::agent_record& a : s.agents()) {
        agents.push_back(json::object{{"name", a.registration().name()},
                                      {"standing", standing_of(a)},
                                      {"failure_domain", a.registration().failure_domain()},
                                      {"incarnation", a.registration().incarnation()},
                                      {"adapter_share", a.adapter_share()},
                                      {"resident", instances_json(a.resident())},
                                      {"assigned", instances_json(a.assigned())}});
    }
    json::array subscribers;
    for (const rpc::subscriber_status& x : s.subscribers()) {
        subscribers.push_back(json::object{{"name", x.name()},
                                           {"revision_in_force", x.revision_in_force()},
                                           {"seen_ms_ago", x.seen_ms_ago()}});
    }
    json::array voters;
    for (const schema::control_member& m : s.members().voters()) {
        voters.push_back(json::object{{"id", std::to_string(m.id())},
                                      {"name", m.name()},
                                      {"address", m.address()},
                                      {"failure_domain", m.failure_domain()}});
    }
    return json::object{{"cluster", s.cluster()},
                        {"environment", s.environment()},
                        {"answered_by", s.answered_by()},
                        {"leader", s.leader_name()},
                        {"isolated", s.isolated()},
                        {"term", s.term()},
                        {"commit", s.commit()},
                        {"revision", s.revision()},
                        {"label", s.current().document().label()},
                        {"document_revision", s.current().revision()},
                        {"claims", s.claims()},
                        {"voters", voters},
                        {"agents", agents},
                        {"subscribers", subscribers}};
}

void print_status(const rpc::status_reply& s, std::ostream& out) {
    out << "cluster " << s.cluster() << "  environment " << s.environment() << "  answered by "
        << s.answered_by() << (s.isolated() ? "  ISOLATED" : "") << "\n";
    out << "leader " << (s.leader_name().empty() ? "none" : s.leader_name()) << "  term "
        << s.term() << "  commit " << s.commit() << "  revision " << s.revision() << "\n";
    out << "document " << (s.current().revision() == 0 ? "none" : s.current().document().label())
        << "  in force since revision " << s.current().revision() << "  claims of idempotency keys "
        << s.claims() << "\n";
    print_models(s, out);
    out << "agents:\n";
    for (const schema::agent_record& a : s.agents()) {
        const auto& r = a.registration();
        out << "  " << std::left << std::setw(16) << r.name() << std::setw(9) << standing_of(a)
            << std::setw(12) << r.failure_domain() << " "
            << (r.kind() == schema::upstream_service ? "service " + r.service()
                                                     : "resident " + instances_text(a.resident()))
            << "\n";
    }
    out << "subscribers:\n";
    for (const rpc::subscriber_status& x : s.subscribers()) {
        const bool is_lagging = x.revision_in_force() < s.revision();
        out << "  " << std::left << std::setw(16) << x.name() << "revision "
            << x.revision_in_force() << "  seen " << x.seen_ms_ago() << " ms ago"
            << (is_lagging ? "  LAGS" : "") << "\n";
    }
    out << "latest events:\n";
    const int first = std::max(0, s.events_size() - 10);
    for (int i = first; i < s.events_size(); ++i) {
        out << "  " << s.events(i) << "\n";
    }
}

}  // namespace burdockdeck::operator_cli
