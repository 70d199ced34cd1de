/* The scheduler for programs in C and whatever calls C: see scheduler.hpp for what it does.
 *
 * It runs on a thread of its own; functions may be called from any thread, callbacks come on that one.
 * No function throws, ends the process or sets a signal handler. A null or ended handle, a null text or
 * callback is HS_INVALID. Texts are UTF-8 and end in a zero byte; those handed to a callback are valid
 * until it returns. */
#ifndef HERONSHIFT_EMBED_HERONSHIFT_H
#define HERONSHIFT_EMBED_HERONSHIFT_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct hs_scheduler hs_scheduler;

enum {
    HS_OK = 0,
    HS_INVALID = 1,  /* an argument */
    HS_SETTINGS = 2, /* the settings, see the message */
    HS_STORE = 3,    /* the state file, see the message */
    HS_SYSTEM = 4    /* an address in use, no thread, no memory */
};

/* status: as the protocol says (201, 200, 400, 404, 422, 429, 503), 0 if the scheduler ended before it
 * answered. state: "pending", "running", "done", "withdrawn" or "". error: why, or "". */
typedef struct hs_reply {
    int status;
    int retry_after_s;
    const char* id;
    const char* state;
    uint64_t done, running; /* tasks */
    const char* error;
} hs_reply;

typedef void (*hs_done)(const hs_reply* reply, void* context);
/* A job has come to its end. gap: some may have been missed, id and state are then "". */
typedef void (*hs_change)(const char* id, const char* state, int gap, void* context);

/* Reads the platform's settings (TOML). state_file: a durable file, or null for the state service that
 * the settings name. On failure *out is null and message, if not null, holds the reason. */
int hs_start(const char* settings_path, const char* state_file, hs_scheduler** out, char* message, size_t message_size);
int hs_submit(hs_scheduler* s, const char* json, hs_done done, void* context);
int hs_get(hs_scheduler* s, const char* id, hs_done done, void* context);
int hs_cancel(hs_scheduler* s, const char* id, hs_done done, void* context);
int hs_subscribe(hs_scheduler* s, hs_change change, void* context);
/* 1 if this copy acts, 0 if not or if the handle is not valid. */
int hs_acts(const hs_scheduler* s);
/* Ends it and forgets the handle. No callback starts after it; it may be called in one. */
int hs_end(hs_scheduler* s);
const char* hs_version(void);

#ifdef __cplusplus
}
#endif

#endif
