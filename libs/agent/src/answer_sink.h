// Receives an upstream's answer and appends it to its attempt.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "attempt.h"
#include "runtime/http.h"

namespace burdockdeck::agent {

// Appends an answer to its attempt. Of an event stream only complete events are appended, so that a
// resumed stream can continue after the last one.
class answer_sink {
public:
    answer_sink(std::shared_ptr<attempt> a, std::size_t limit) : a_(std::move(a)), limit_(limit) {}

    void head(unsigned status, const runtime::header_list& headers);
    // False if the answer exceeds the limit.
    [[nodiscard]] bool body(std::string_view bytes);
    // Appends the rest of an answer whose body has ended. False if the upstream has broken it off:
    // a stream that ends inside an event, or, if it ends with its connection, before any event.
    [[nodiscard]] bool finish();

    [[nodiscard]] unsigned status() const {
        return status_;
    }
    [[nodiscard]] const std::string& refusal() const {
        return refusal_;
    }

private:
    [[nodiscard]] bool is_refusal() const;

    std::shared_ptr<attempt> a_;
    std::size_t limit_;
    unsigned status_ = 0;
    bool events_ = false;
    // True if the answer has neither a length nor chunks.
    bool ends_with_connection_ = false;
    std::string pending_;
    std::string refusal_;
};

}  // namespace burdockdeck::agent
