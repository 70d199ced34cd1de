// Checks the answers that users got from any controller against earlier ones: an answer may not report an older state
// of a job than another answer that had already arrived when the request was sent.
#pragma once

#include "heronshift/codec.hpp"

#include <array>
#include <fmt/format.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace heronshift::testing {

class Answers {
public:
    void submitted(const std::string& id) {
        jobs_[id];
    }
    void cancel_asked(const std::string& id) {
        jobs_[id].cancel_asked = true;
    }
    // Checks the answer to a status request, a submission or a cancellation that was sent at `asked` and answered at
    // `now` by the controller `by`. `state` counts only with the statuses 200 and 201.
    void answered(const std::string& id, const std::string& by, double asked, double now, int status,
                  std::string_view state) {
        const auto it = jobs_.find(id);
        if (it == jobs_.end()) {
            if (status == 200)
                wrong("invented", id, by, "200");
            return;
        }
        auto& j = it->second;
        const auto said = status == 200 || status == 201 ? std::string(state) : std::to_string(status);
        int age = -1; // how far the job has come: 0 unknown, 1 accepted, 2 final; -1: the answer does not say
        if (status == 404 || status == 400 || status == 422)
            age = 0;
        if (status == 200 || status == 201)
            age = is_final(state) ? 2 : 1;
        if (age < 0)
            return; // the controller could not answer
        for (int newer = age + 1; newer <= 2; ++newer)
            if (j.token_acknowledged_at[static_cast<std::size_t>(newer)] < asked)
                return wrong(newer == 2 ? "went_back" : "forgotten", id, by, said);
        if (age == 2) {
            if (!j.final.empty() && j.final != state)
                wrong("went_back", id, by, said + " after " + j.final);
            if (state == codec::status_cancelled && !j.cancel_asked)
                wrong("went_back", id, by, "cancelled by nobody");
            j.final = state;
        }
        for (int a = 1; a <= age; ++a)
            j.token_acknowledged_at[static_cast<std::size_t>(a)] =
                std::min(j.token_acknowledged_at[static_cast<std::size_t>(a)], now);
    }
    static bool is_final(std::string_view state) {
        return state == codec::status_done || state == codec::status_cancelled;
    }
    [[nodiscard]] const std::vector<std::string>& broken() const {
        return broken_;
    }

private:
    struct Job {
        std::array<double, 3> token_acknowledged_at{1e18, 1e18, 1e18}; // by `age`: when first answered
        std::string final;
        bool cancel_asked = false;
    };
    void wrong(const char* rule, const std::string& id, const std::string& by, const std::string& said) {
        broken_.push_back(fmt::format("{} {}: {} says {}", rule, id, by, said));
    }
    std::map<std::string, Job> jobs_;
    std::vector<std::string> broken_;
};

} // namespace heronshift::testing
