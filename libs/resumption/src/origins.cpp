// Keeps origins in the order of their arrival, and ranks hosts by rendezvous hashing.
#include "resumption/origins.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

#include "base/checksum.h"

namespace burdockdeck::resumption {

namespace {

void drop_oldest(origin_table& t) {
    t.by_request.erase(t.order.front());
    t.order.pop_front();
}

void drop_oldest(told_streams& t) {
    const auto oldest = t.by_request.find(t.order.front());
    for (const std::string& host : oldest->second.hosts) {
        const auto of_host = t.by_host.find(host);
        of_host->second.erase(oldest->first);
        if (of_host->second.empty()) {
            t.by_host.erase(of_host);
        }
    }
    t.by_request.erase(oldest);
    t.order.pop_front();
}

}  // namespace

std::optional<origin> find_origin(const origin_table& t, const std::string& request,
                                  time_point now) {
    const auto found = t.by_request.find(request);
    if (found == t.by_request.end() || found->second.ambiguous || found->second.expires_at <= now) {
        return std::nullopt;
    }
    return found->second.began;
}

std::vector<std::string> holders_of(std::string_view request,
                                    const std::set<std::string, std::less<>>& hosts,
                                    std::size_t count) {
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    ranked.reserve(hosts.size());
    for (const std::string& host : hosts) {
        std::string key(request);
        key += '\n';
        key += host;
        ranked.emplace_back(checksum_of(key), host);
    }
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end(), std::greater<>());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < kept; ++i) {
        out.emplace_back(ranked[i].second);
    }
    return out;
}

void record_origin(origin_table& t, const std::string& request, const origin& began, duration ttl,
                   time_point now) {
    if (request.empty() || request.size() > max_request_id_bytes) {
        return;
    }
    const time_point expires_at = now + std::min(ttl, max_origin_ttl);
    const auto [place, added] = t.by_request.try_emplace(request, kept_origin{began, expires_at});
    kept_origin& known = place->second;
    if (!added && known.expires_at <= now) {
        known = {began, expires_at};
    }
    if (!added) {
        known.ambiguous = known.ambiguous || known.began != began;
        known.expires_at = std::max(known.expires_at, expires_at);
        return;
    }
    t.order.push_back(request);
    if (t.order.size() > max_kept_origins) {
        drop_oldest(t);
    }
}

void expire(origin_table& t, time_point now) {
    while (!t.order.empty() && t.by_request.at(t.order.front()).expires_at <= now) {
        drop_oldest(t);
    }
}

void record_told(told_streams& t, const std::string& request, const std::vector<std::string>& hosts,
                 duration ttl, time_point now) {
    const time_point expires_at = now + std::min(ttl, max_origin_ttl);
    const auto [place, added] = t.by_request.try_emplace(request);
    place->second.expires_at = std::max(place->second.expires_at, expires_at);
    for (const std::string& host : hosts) {
        place->second.hosts.insert(host);
        t.by_host[host].insert(request);
    }
    if (added) {
        t.order.push_back(request);
    }
    if (t.order.size() > max_told_streams) {
        drop_oldest(t);
    }
}

void expire(told_streams& t, time_point now) {
    while (!t.order.empty() && t.by_request.at(t.order.front()).expires_at <= now) {
        drop_oldest(t);
    }
}

std::vector<std::string> take_told(told_streams& t, const std::string& host, std::size_t count) {
    std::vector<std::string> out;
    const auto found = t.by_host.find(host);
    if (found == t.by_host.end()) {
        return out;
    }
    std::set<std::string>& requests = found->second;
    while (!requests.empty() && out.size() < count) {
        out.push_back(std::move(requests.extract(requests.begin()).value()));
        t.by_request.at(out.back()).hosts.erase(host);
    }
    if (requests.empty()) {
        t.by_host.erase(found);
    }
    return out;
}

}  // namespace burdockdeck::resumption
