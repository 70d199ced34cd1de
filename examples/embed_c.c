/* Embeds the scheduler in a C program: embed_c SETTINGS.toml STATE.db
 * Submits one job and polls its state until it is done. */
#include "heronshift/embed/heronshift.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct answer {
    atomic_int ready;
    int status;
    char state[16], error[200];
};

static void keep_reply(const hs_reply* r, void* context) {
    struct answer* a = context;
    a->status = r->status;
    snprintf(a->state, sizeof a->state, "%s", r->state);
    snprintf(a->error, sizeof a->error, "%s", r->error);
    atomic_store(&a->ready, 1);
}

static void wait_for(struct answer* a) {
    while (!atomic_load(&a->ready))
        usleep(10000);
    atomic_store(&a->ready, 0);
}

int main(int argc, char** argv) {
    static const char job[] = "{\"id\":\"wk-000888\",\"jobclass\":\"batch\",\"owner\":\"red\",\"shape\":\"array\","
                              "\"rank\":\"normal\",\"shards\":2,\"cpus\":1.0,\"memGb\":1.0,\"bundle\":\"img-1\","
                              "\"imageGb\":0.1}";
    hs_scheduler* s = NULL;
    char error_message[300];
    struct answer a = {0};
    if (argc != 3) {
        fprintf(stderr, "usage: embed_c SETTINGS.toml STATE.db\n");
        return 2;
    }
    if (hs_start(argv[1], argv[2], &s, error_message, sizeof error_message) != HS_OK) {
        fprintf(stderr, "embed_c: %s\n", error_message);
        return 2;
    }
    do {
        if (hs_submit(s, job, keep_reply, &a) != HS_OK)
            return 1;
        wait_for(&a);
        if (a.status == 400 || a.status == 422) {
            fprintf(stderr, "embed_c: %s\n", a.error);
            return 1;
        }
        usleep(200000);
    } while (a.status != 200 && a.status != 201);
    do {
        usleep(200000);
        if (hs_get(s, "wk-000888", keep_reply, &a) != HS_OK)
            return 1;
        wait_for(&a);
    } while (a.status != 200 || strcmp(a.state, "done") != 0);
    printf("wk-000888 is %s\n", a.state);
    return hs_end(s) == HS_OK ? 0 : 1;
}
