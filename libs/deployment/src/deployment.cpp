// Validation of a deployment, and look-ups in it.
#include "deployment/deployment.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace burdockdeck::deployment {

namespace {

bool equal_hosts(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string_view without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

std::string quoted(const std::string& name) {
    return "`" + name + "`";
}

result<nothing, deployment_error> check_route(const site& s, const route& r) {
    const std::string where = "route " + quoted(r.name) + ": ";
    if (r.host.empty()) {
        return deployment_error{where + "the host is empty"};
    }
    if (r.prefix.empty() || r.prefix.front() != '/' || r.prefix.back() != '/') {
        return deployment_error{where + "the prefix must begin and end with a slash"};
    }
    if (r.timeout <= duration::zero()) {
        return deployment_error{where + "the timeout must be longer than 0"};
    }
    double weight = 0;
    for (const weighted_service& w : r.services) {
        if (w.weight < 0) {
            return deployment_error{where + "a service weight is below 0"};
        }
        if (find_service(s, w.service) == nullptr) {
            return deployment_error{where + "unknown service " + quoted(w.service)};
        }
        weight += w.weight;
    }
    if (weight <= 0) {
        return deployment_error{where + "the weights of its services must sum to more than 0"};
    }
    return nothing{};
}

}  // namespace

result<nothing, deployment_error> check(const site& s) {
    std::set<std::string_view> names;
    for (const service_spec& service : s.services) {
        if (service.name.empty() || !names.insert(service.name).second) {
            return deployment_error{"service name empty or used twice: " + quoted(service.name)};
        }
    }
    std::set<std::pair<std::string, std::string>> seen;
    for (const route& r : s.routes) {
        if (auto checked = check_route(s, r); !succeeded(checked)) {
            return checked;
        }
        std::string host = r.host;
        std::transform(host.begin(), host.end(), host.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        if (!seen.emplace(std::move(host), r.prefix).second) {
            return deployment_error{"two routes share host " + quoted(r.host) + " and prefix " +
                                    quoted(r.prefix)};
        }
    }
    return nothing{};
}

const route* match(const site& s, std::string_view host, std::string_view path) {
    const route* best = nullptr;
    const std::string_view name = without_port(host);
    for (const route& r : s.routes) {
        const bool longer = best == nullptr || r.prefix.size() > best->prefix.size();
        if (longer && path.substr(0, r.prefix.size()) == r.prefix && equal_hosts(r.host, name)) {
            best = &r;
        }
    }
    return best;
}

const std::string& service_of(const route& r, double draw) {
    double total = 0;
    for (const weighted_service& w : r.services) {
        total += w.weight;
    }
    double left = draw * total;
    for (const weighted_service& w : r.services) {
        if (w.weight > 0 && left < w.weight) {
            return w.service;
        }
        left -= w.weight;
    }
    return r.services.back().service;
}

const service_spec* find_service(const site& s, std::string_view name) {
    const auto found = std::find_if(s.services.begin(), s.services.end(),
                                    [&](const service_spec& x) { return x.name == name; });
    return found == s.services.end() ? nullptr : &*found;
}

const model_spec* find_model(const engine_spec& e, std::string_view name) {
    const auto found = std::find_if(e.models.begin(), e.models.end(),
                                    [&](const model_spec& m) { return m.name == name; });
    return found == e.models.end() ? nullptr : &*found;
}

}  // namespace burdockdeck::deployment
