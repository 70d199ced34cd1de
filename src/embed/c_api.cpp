#include "heronshift/embed/heronshift.h"

#include "heronshift/embed/scheduler.hpp"
#include "heronshift/store/engine.hpp"
#include "heronshift/version.hpp"

#include <algorithm>
#include <cstring>
#include <mutex>
#include <set>

struct hs_scheduler {
    heronshift::Scheduler scheduler;
};

namespace {

// Guards the set of handles that hs_start has returned and hs_end has not destroyed yet. The set makes it possible to
// reject handles that have been destroyed or never existed.
std::mutex live_handles_mutex;
std::set<const hs_scheduler*>& live_handles() {
    static std::set<const hs_scheduler*> all;
    return all;
}

bool is_live(const hs_scheduler* s) {
    const std::lock_guard l(live_handles_mutex);
    return s != nullptr && live_handles().contains(s);
}

void copy_message(char* message, std::size_t size, const char* text) {
    if (message == nullptr || size == 0)
        return;
    const auto n = std::min(size - 1, std::strlen(text));
    std::memcpy(message, text, n);
    message[n] = 0;
}

heronshift::Scheduler::Done to_callback(hs_done done, void* context) {
    return [done, context](const heronshift::Reply& r) {
        const hs_reply reply{r.status, r.retry_after_s, r.id.c_str(),   r.state.c_str(),
                             r.done,   r.running,       r.error.c_str()};
        done(&reply, context);
    };
}

// Calls `f` with the scheduler if the handle is valid and `arguments_valid`, the check of the other arguments, is true.
// Returns a status code, and lets no exception pass into C code.
template <class F> int guarded(hs_scheduler* s, bool arguments_valid, F f) {
    if (!arguments_valid || !is_live(s))
        return HS_INVALID;
    try {
        f(s->scheduler);
        return HS_OK;
    } catch (...) {
        return HS_SYSTEM;
    }
}

} // namespace

extern "C" {

int hs_start(const char* settings_path, const char* state_file, hs_scheduler** out, char* message,
             size_t message_size) {
    copy_message(message, message_size, "");
    if (out == nullptr)
        return HS_INVALID;
    *out = nullptr;
    if (settings_path == nullptr)
        return HS_INVALID;
    try {
        heronshift::SchedulerOptions options;
        options.settings = heronshift::load_settings(settings_path);
        if (state_file != nullptr)
            options.state_file = state_file;
        auto* s = new hs_scheduler{heronshift::Scheduler(std::move(options))};
        const std::lock_guard l(live_handles_mutex);
        live_handles().insert(s);
        *out = s;
        return HS_OK;
    } catch (const heronshift::SettingsError& error) {
        copy_message(message, message_size, error.what());
        return HS_SETTINGS;
    } catch (const heronshift::store::StoreError& error) {
        copy_message(message, message_size, error.what());
        return HS_STORE;
    } catch (const std::exception& error) {
        copy_message(message, message_size, error.what());
        return HS_SYSTEM;
    }
}

int hs_submit(hs_scheduler* s, const char* json, hs_done done, void* context) {
    return guarded(s, json != nullptr && done != nullptr,
                   [&](auto& x) { x.submit(std::string(json), to_callback(done, context)); });
}

int hs_get(hs_scheduler* s, const char* id, hs_done done, void* context) {
    return guarded(s, id != nullptr && done != nullptr, [&](auto& x) { x.get(id, to_callback(done, context)); });
}

int hs_cancel(hs_scheduler* s, const char* id, hs_done done, void* context) {
    return guarded(s, id != nullptr && done != nullptr, [&](auto& x) { x.cancel(id, to_callback(done, context)); });
}

int hs_subscribe(hs_scheduler* s, hs_change change, void* context) {
    return guarded(s, change != nullptr, [&](auto& x) {
        x.subscribe([change, context](const heronshift::Change& c) {
            change(c.id.c_str(), c.state.c_str(), c.gap ? 1 : 0, context);
        });
    });
}

int hs_is_active_leader(const hs_scheduler* s) {
    return is_live(s) && s->scheduler.is_active_leader() ? 1 : 0;
}

int hs_acts(const hs_scheduler* s) {
    return hs_is_active_leader(s);
}

int hs_end(hs_scheduler* s) {
    {
        const std::lock_guard l(live_handles_mutex);
        if (s == nullptr || live_handles().erase(s) == 0)
            return HS_INVALID;
    }
    delete s;
    return HS_OK;
}

const char* hs_version(void) {
    return heronshift::version;
}
}
