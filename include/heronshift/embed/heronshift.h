/** @file
 * The C interface of the scheduler, for programs in C and in languages that can call C. See scheduler.hpp for what the
 * scheduler does.
 *
 * A scheduler runs on a thread that it starts. All functions may be called from any thread; callbacks are called on the
 * scheduler's thread. No function throws, ends the process or sets a signal handler. A function returns HS_INVALID if
 * the handle is null or has been ended, or if a text or callback is null that the function needs. Texts are UTF-8 and
 * end with a zero byte; those passed to a callback are valid until the callback returns. */
#ifndef HERONSHIFT_EMBED_HERONSHIFT_H
#define HERONSHIFT_EMBED_HERONSHIFT_H

#include <stddef.h>
#include <stdint.h>

/** Marks deprecated names: compilers that support the attribute warn about their use. */
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

/** Return values of the functions. */
enum {
    HS_OK = 0,       /**< Success. */
    HS_INVALID = 1,  /**< An argument is invalid. */
    HS_SETTINGS = 2, /**< The settings are invalid; the message tells why. */
    HS_STORE = 3,    /**< The state file cannot be used; the message tells why. */
    HS_SYSTEM = 4    /**< Another failure, such as an address in use, no thread or no memory. */
};

/** The result of a call. */
typedef struct hs_reply {
    /** Status code of the protocol: 201, 200, 400, 404, 422, 429, 503 or 504 (see Reply::status in scheduler.hpp); 0 if
     * the scheduler ended before it answered. */
    int status;
    /** Time after which to try again, in seconds; 0: not specified. */
    int retry_after_s;
    /** The job's id, or "". */
    const char* id;
    /** The job's state: "pending", "running", "done", "withdrawn" or "". */
    const char* state;
    /** The number of the job's tasks that are done. */
    uint64_t done;
    /** The number of the job's tasks that are running. */
    uint64_t running;
    /** Why the call was refused, or "". */
    const char* error;
} hs_reply;

/** Receives the result of a call, on the scheduler's thread. context: the pointer that was passed to the call. */
typedef void (*hs_done)(const hs_reply* reply, void* context);
/** Receives the end of a job and its final state, on the scheduler's thread. gap: if not 0, notifications may have been
 * missed, and id and state are "". context: the pointer that was passed to hs_subscribe(). */
typedef void (*hs_change)(const char* id, const char* state, int gap, void* context);

/** Starts a scheduler. settings_path: the file of the platform's settings (TOML). state_file: a durable file that holds
 * the state, or null to use the state service that the settings name. message: if not null, a buffer of message_size
 * bytes for the reason of a failure. On failure *out is null. Returns HS_OK, HS_INVALID, HS_SETTINGS, HS_STORE or
 * HS_SYSTEM. */
int hs_start(const char* settings_path, const char* state_file, hs_scheduler** out, char* message, size_t message_size);
/** Submits a job. json: the job as a JSON text, in the form of the body of POST /v2/runs. If HS_OK is returned, done is
 * called exactly once. */
int hs_submit(hs_scheduler* s, const char* json, hs_done done, void* context);
/** Queries a job's state. If HS_OK is returned, done is called exactly once. */
int hs_get(hs_scheduler* s, const char* id, hs_done done, void* context);
/** Cancels a job and all jobs that depend on it. If HS_OK is returned, done is called exactly once. */
int hs_cancel(hs_scheduler* s, const char* id, hs_done done, void* context);
/** Calls change for each job that ends, until the scheduler ends. Returns HS_OK, HS_INVALID or HS_SYSTEM. */
int hs_subscribe(hs_scheduler* s, hs_change change, void* context);
/** Returns 1 if this controller is the leader and may act at this moment, 0 if not or if the handle is not valid. */
int hs_is_active_leader(const hs_scheduler* s);
/** Deprecated: the former name of hs_is_active_leader. */
HS_DEPRECATED int hs_acts(const hs_scheduler* s);
/** Ends the scheduler and invalidates the handle. No callback starts after hs_end() has returned. hs_end() may be
 * called within a callback. Returns HS_OK or HS_INVALID. */
int hs_end(hs_scheduler* s);
/** Returns the version of the library, such as "0.1.0". The text stays valid. */
const char* hs_version(void);

#ifdef __cplusplus
}
#endif

#endif
