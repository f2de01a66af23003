/* Direct commands to workers: a few threads, each with reused connections. */
#include "brambledoor/http.h"
#include "brambledoor/node.h"
#include "brambledoor/timeutil.h"
#include "metrics.h"
#include <stdio.h>
#include <stdlib.h>

/* named defaults */
#define ANSWER_S 1.5
#define THREADS_LEAST 6
#define THREADS_MOST 64
#define SOCKETS_A_THREAD 80 /* of all: a hundred machines that hang at once hold up few others */

static void *run(void *arg)
{
    struct bd_node *n = arg;
    struct bd_http *h =
        bd_http_new(BD_DISPATCH_KEEP, bd_metrics_counter(n->metrics, BD_TRAFFIC_DIRECT));
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

int bd_dispatch_threads(const struct bd_settings *s)
{
    int n = s->max_sockets / SOCKETS_A_THREAD;
    return n < THREADS_LEAST ? THREADS_LEAST : n > THREADS_MOST ? THREADS_MOST : n;
}

int bd_dispatch_start(struct bd_node *n)
{
    int rc = 0;
    for (int i = 0; i < bd_dispatch_threads(&n->set); i++)
        rc |= bd_thread(run, n, 131072);
    return rc;
}
