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
    void cancellation_requested(const std::string& id) {
        jobs_[id].cancellation_requested = true;
    }
    // Checks the answer to a status request, a submission or a cancellation that was sent at `asked` and answered at
    // `now` by the controller `by`. `state` counts only with the statuses 200 and 201.
    void answered(const std::string& id, const std::string& by, double asked, double now, int status,
                  std::string_view state) {
        const auto it = jobs_.find(id);
        if (it == jobs_.end()) {
            if (status == 200)
                add_violation("invented", id, by, "200");
            return;
        }
        auto& j = it->second;
        const auto answer = status == 200 || status == 201 ? std::string(state) : std::to_string(status);
        int progress = -1; // how far the job has come: 0 unknown, 1 accepted, 2 final; -1: the answer does not say
        if (status == 404 || status == 400 || status == 422)
            progress = 0;
        if (status == 200 || status == 201)
            progress = is_final(state) ? 2 : 1;
        if (progress < 0)
            return; // the controller could not answer
        for (int newer = progress + 1; newer <= 2; ++newer)
            if (j.first_answered_at[static_cast<std::size_t>(newer)] < asked)
                return add_violation(newer == 2 ? "went_back" : "forgotten", id, by, answer);
        if (progress == 2) {
            if (!j.final.empty() && j.final != state)
                add_violation("went_back", id, by, answer + " after " + j.final);
            if (state == codec::status_cancelled && !j.cancellation_requested)
                add_violation("went_back", id, by, "cancelled by nobody");
            j.final = state;
        }
        for (int a = 1; a <= progress; ++a)
            j.first_answered_at[static_cast<std::size_t>(a)] =
                std::min(j.first_answered_at[static_cast<std::size_t>(a)], now);
    }
    static bool is_final(std::string_view state) {
        return state == codec::status_done || state == codec::status_cancelled;
    }
    [[nodiscard]] const std::vector<std::string>& violations() const {
        return violations_;
    }

private:
    struct Job {
        std::array<double, 3> first_answered_at{1e18, 1e18, 1e18}; // by `progress`: when first answered
        std::string final;
        bool cancellation_requested = false;
    };
    void add_violation(const char* rule, const std::string& id, const std::string& by, const std::string& answer) {
        violations_.push_back(fmt::format("{} {}: {} says {}", rule, id, by, answer));
    }
    std::map<std::string, Job> jobs_;
    std::vector<std::string> violations_;
};

} // namespace heronshift::testing
