/** @file
 * The scheduler for programs in C and whatever calls C: see scheduler.hpp for what it does.
 *
 * It runs on a thread of its own; functions may be called from any thread, callbacks come on that one.
 * No function throws, ends the process or sets a signal handler. A null or ended handle, a null text or
 * callback is HS_INVALID. Texts are UTF-8 and end in a zero byte; those handed to a callback are valid
 * until it returns. */
#ifndef HERONSHIFT_EMBED_HERONSHIFT_H
#define HERONSHIFT_EMBED_HERONSHIFT_H

#include <stddef.h>
#include <stdint.h>

/** Marks former names: compilers that know the attribute warn where one is used. */
#if defined(__GNUC__) || defined(__clang__)
#define HS_DEPRECATED __attribute__((deprecated))
#else
#define HS_DEPRECATED
#endif

#ifdef __cplusplus
extern "C" {
#endif

/** A running scheduler. */
typedef struct hs_scheduler hs_scheduler;

/** What functions return. */
enum {
    HS_OK = 0,       /**< Done. */
    HS_INVALID = 1,  /**< An argument is wrong. */
    HS_SETTINGS = 2, /**< The settings are wrong, see the message. */
    HS_STORE = 3,    /**< The state file cannot be used, see the message. */
    HS_SYSTEM = 4    /**< An address in use, no thread, no memory. */
};

/** What came of a call. */
typedef struct hs_reply {
    /** As the protocol says (201, 200, 400, 404, 422, 429, 503, 504), 0 if the scheduler ended before it answered. */
    int status;
    /** When to try again, in seconds; 0: not said. */
    int retry_after_s;
    /** The job's id, or "". */
    const char* id;
    /** "pending", "running", "done", "withdrawn" or "". */
    const char* state;
    /** The number of its tasks that are done. */
    uint64_t done;
    /** The number of its tasks that run. */
    uint64_t running;
    /** Why it was refused, or "". */
    const char* error;
} hs_reply;

/** Takes the answer to a call, on the scheduler's thread. */
typedef void (*hs_done)(const hs_reply* reply, void* context);
/** A job has come to its end; on the scheduler's thread. gap: some may have been missed, id and state are then "". */
typedef void (*hs_change)(const char* id, const char* state, int gap, void* context);

/** Starts a scheduler. Reads the platform's settings (TOML). state_file: a durable file, or null for the state service
 * that the settings name. On failure *out is null and message, if not null, holds the reason. Returns HS_OK,
 * HS_INVALID, HS_SETTINGS, HS_STORE or HS_SYSTEM. */
int hs_start(const char* settings_path, const char* state_file, hs_scheduler** out, char* message, size_t message_size);
/** Submits a job, a JSON text as POST /v2/runs takes it. If HS_OK is returned, done is called once. */
int hs_submit(hs_scheduler* s, const char* json, hs_done done, void* context);
/** Asks for a job's state. If HS_OK is returned, done is called once. */
int hs_get(hs_scheduler* s, const char* id, hs_done done, void* context);
/** Cancels a job and all that need it. If HS_OK is returned, done is called once. */
int hs_cancel(hs_scheduler* s, const char* id, hs_done done, void* context);
/** Tells of each job that comes to its end, until the scheduler ends. Returns HS_OK, HS_INVALID or HS_SYSTEM. */
int hs_subscribe(hs_scheduler* s, hs_change change, void* context);
/** 1 if this copy is the leader and may act at this moment, 0 if not or if the handle is not valid. */
int hs_is_active_leader(const hs_scheduler* s);
/** Deprecated: the former name of hs_is_active_leader. */
HS_DEPRECATED int hs_acts(const hs_scheduler* s);
/** Ends it and forgets the handle: HS_OK or HS_INVALID. No callback starts after it; it may be called in one. */
int hs_end(hs_scheduler* s);
/** The version of the library, such as "0.1.0"; valid for ever. */
const char* hs_version(void);

#ifdef __cplusplus
}
#endif

#endif
