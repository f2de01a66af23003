/* Direct commands to workers: a few threads, each with reused connections. */
#include "brambledoor/http.h"
#include "brambledoor/node.h"
#include "brambledoor/timeutil.h"
#include <stdio.h>
#include <stdlib.h>

/* named defaults */
#define THREADS 6
#define KEEP 8L /* connections a thread keeps */
#define ANSWER_S 1.5

static void *run(void *arg)
{
    struct bd_node *n = arg;
    struct bd_http *h = bd_http_new(KEEP);
    while (h) {
        void *item;
        char url[128];
        struct bd_reply r;
        if (bd_queue_take(&n->to_dispatch, &item, 1, bd_add(bd_now(), bd_secs(5))) == 0)
            continue;
        struct bd_effect *e = item;
        struct bd_cmd *cmd = bd_cmd_new(BD_C_DID);
        snprintf(url, sizeof url, "http://%s/do", e->addr);
        bd_http_call(h, "POST", url, e->body, ANSWER_S, &r);
        cmd->status = r.status;
        cmd->text = r.body;
        cmd->len = r.len;
        cmd->machine = e->machine;
        cmd->number = e->seal;
        cmd->flag = e->launch;
        bd_effect_free(e);
        bd_tell(n, cmd);
    }
    return NULL;
}

int bd_dispatch_start(struct bd_node *n)
{
    int rc = 0;
    for (int i = 0; i < THREADS; i++)
        rc |= bd_thread(run, n, 131072);
    return rc;
}
