// Implements the validating reader with yaml-cpp.
#include "settings/reader.h"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace burdockdeck::settings {

struct map_reader::state {
    std::string file;
    YAML::Node node;
    std::set<std::string, std::less<>> consumed;
    // Shared by all readers of one file.
    std::shared_ptr<std::optional<settings_error>> first_error =
        std::make_shared<std::optional<settings_error>>();

    [[nodiscard]] int line_of(const YAML::Node& n) const {
        return n.IsDefined() && !n.Mark().is_null() ? n.Mark().line + 1 : 0;
    }

    void record(int line, std::string_view key, std::string message) {
        if (!first_error->has_value()) {
            *first_error = settings_error{file, line, std::string(key), std::move(message)};
        }
    }

    YAML::Node consume(std::string_view key) {
        consumed.emplace(key);
        if (!node.IsMap()) {
            return YAML::Node(YAML::NodeType::Undefined);
        }
        const YAML::Node& const_node = node;
        return const_node[std::string(key)];
    }

    [[nodiscard]] static std::unique_ptr<state> child(const state& parent, const YAML::Node& n) {
        auto s = std::make_unique<state>();
        s->file = parent.file;
        s->node = n;
        s->first_error = parent.first_error;
        return s;
    }
};

namespace {

template <class T>
std::optional<T> scalar_as(const YAML::Node& n) {
    T out{};
    if (n.IsScalar() && YAML::convert<T>::decode(n, out)) {
        return out;
    }
    return std::nullopt;
}

template <class T>
std::string range_text(T low, T high) {
    std::ostringstream text;
    text << "must be from " << low << " to " << high;
    return text.str();
}

}  // namespace

std::string to_text(const settings_error& e) {
    std::string text = e.file + ":" + std::to_string(e.line) + ": ";
    if (!e.key.empty()) {
        text += "key `" + e.key + "`: ";
    }
    return text + e.message;
}

map_reader::map_reader(std::unique_ptr<state> s) : state_(std::move(s)) {}
map_reader::map_reader(map_reader&&) noexcept = default;
map_reader& map_reader::operator=(map_reader&&) noexcept = default;
map_reader::~map_reader() = default;

map_reader map_reader::parse(std::string file, const std::string& text) {
    auto s = std::make_unique<state>();
    s->file = std::move(file);
    try {
        s->node = YAML::Load(text);
    } catch (const YAML::Exception& failed) {
        s->record(failed.mark.line + 1, "", "not valid YAML: " + failed.msg);
        return map_reader(std::move(s));
    }
    if (!s->node.IsMap()) {
        s->record(1, "", "the top level must be a map");
    }
    return map_reader(std::move(s));
}

map_reader map_reader::load(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        auto s = std::make_unique<state>();
        s->file = path;
        s->record(0, "", "the file cannot be read");
        return map_reader(std::move(s));
    }
    return parse(path, text.str());
}

bool map_reader::has(std::string_view key) const {
    const YAML::Node& const_node = state_->node;
    return const_node.IsMap() && const_node[std::string(key)].IsDefined();
}

std::string map_reader::get_string(std::string_view key) {
    const YAML::Node n = state_->consume(key);
    if (!n.IsDefined()) {
        fail(key, "is missing");
        return {};
    }
    if (!n.IsScalar() || n.Scalar().empty()) {
        fail(key, "must be a non-empty string");
        return {};
    }
    return n.Scalar();
}

std::string map_reader::get_string(std::string_view key, std::string_view fallback) {
    return has(key) ? get_string(key) : (state_->consume(key), std::string(fallback));
}

std::int64_t map_reader::get_integer(std::string_view key, std::int64_t low, std::int64_t high) {
    const YAML::Node n = state_->consume(key);
    if (!n.IsDefined()) {
        fail(key, "is missing");
        return low;
    }
    const auto number = scalar_as<std::int64_t>(n);
    if (!number) {
        fail(key, "must be a whole number");
        return low;
    }
    if (*number < low || *number > high) {
        fail(key, range_text(low, high));
        return low;
    }
    return *number;
}

std::int64_t map_reader::get_integer(std::string_view key, std::int64_t low, std::int64_t high,
                                     std::int64_t fallback) {
    return has(key) ? get_integer(key, low, high) : (state_->consume(key), fallback);
}

double map_reader::get_number(std::string_view key, double low, double high, double fallback) {
    const YAML::Node n = state_->consume(key);
    if (!n.IsDefined()) {
        return fallback;
    }
    const auto number = scalar_as<double>(n);
    if (!number || std::isnan(*number)) {
        fail(key, "must be a number");
        return fallback;
    }
    if (*number < low || *number > high) {
        fail(key, range_text(low, high));
        return fallback;
    }
    return *number;
}

bool map_reader::get_flag(std::string_view key, bool fallback) {
    const YAML::Node n = state_->consume(key);
    if (!n.IsDefined()) {
        return fallback;
    }
    const auto flag = scalar_as<bool>(n);
    if (!flag) {
        fail(key, "must be true or false");
    }
    return flag.value_or(fallback);
}

duration map_reader::get_milliseconds(std::string_view key, std::int64_t low, std::int64_t high,
                                      std::int64_t fallback) {
    return std::chrono::milliseconds(get_integer(key, low, high, fallback));
}

std::vector<std::string> map_reader::get_strings(std::string_view key) {
    std::vector<std::string> out;
    const YAML::Node n = state_->consume(key);
    if (!n.IsDefined()) {
        return out;
    }
    if (!n.IsSequence()) {
        fail(key, "must be a list of strings");
        return out;
    }
    for (const YAML::Node& item : n) {
        if (!item.IsScalar() || item.Scalar().empty()) {
            fail(key, "must be a list of strings");
            return out;
        }
        out.push_back(item.Scalar());
    }
    return out;
}

std::vector<map_reader> map_reader::get_maps(std::string_view key) {
    std::vector<map_reader> out;
    const YAML::Node n = state_->consume(key);
    if (!n.IsDefined()) {
        return out;
    }
    if (!n.IsSequence()) {
        fail(key, "must be a list of maps");
        return out;
    }
    for (const YAML::Node& item : n) {
        if (!item.IsMap()) {
            fail(key, "must be a list of maps");
            return out;
        }
        out.push_back(map_reader(state::child(*state_, item)));
    }
    return out;
}

map_reader map_reader::get_map(std::string_view key) {
    const YAML::Node n = state_->consume(key);
    if (n.IsDefined() && !n.IsMap()) {
        fail(key, "must be a map");
    }
    return map_reader(
        state::child(*state_, n.IsDefined() && n.IsMap() ? n : YAML::Node(YAML::NodeType::Map)));
}

void map_reader::fail(std::string_view key, std::string message) {
    const YAML::Node& const_node = state_->node;
    int line = state_->line_of(const_node);
    if (const_node.IsMap() && !key.empty()) {
        const YAML::Node at = const_node[std::string(key)];
        if (at.IsDefined()) {
            line = state_->line_of(at);
        }
    }
    state_->record(line, key, std::move(message));
}

std::optional<settings_error> map_reader::finish() {
    if (*state_->first_error || !state_->node.IsMap()) {
        return *state_->first_error;
    }
    std::set<std::string> seen;
    for (const auto& pair : state_->node) {
        const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
        if (!state_->consumed.contains(key)) {
            state_->record(state_->line_of(pair.first), key, "unknown key");
        } else if (!seen.insert(key).second) {
            state_->record(state_->line_of(pair.first), key, "duplicate key");
        }
    }
    return *state_->first_error;
}

}  // namespace burdockdeck::settings
