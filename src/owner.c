/* The thread that alone owns the core. It drains the commands in batches and hands the effects
 * to the adapters. */
#include "brambledoor/http.h"
#include "brambledoor/node.h"
#include "brambledoor/timeutil.h"
#include "metrics.h"
#include "report_cache.h"
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define BATCH 128
#define QUEUE_CAP 4096
#define STATUS_S 0.3
#define REPORTS_SHARE 0.08 /* of the memory, for the machines' newest reports */
#define REPORT_S 20.0      /* between the log's lines of traffic and times */

struct bd_cmd *bd_cmd_new(enum bd_cmd_kind kind)
{
    struct bd_cmd *cmd = calloc(1, sizeof *cmd);
    if (!cmd)
        abort();
    cmd->kind = kind;
    return cmd;
}

void bd_cmd_free(struct bd_cmd *cmd)
{
    free(cmd->text);
    free(cmd->data);
    json_decref(cmd->json);
    json_decref(cmd->gain.receipts);
    json_decref(cmd->gain.intents);
    free(cmd);
}

void bd_tell(struct bd_node *n, struct bd_cmd *cmd)
{
    cmd->queued = bd_now();
    /* the adapters' own words are few; the front checks for room before it admits a request */
    while (!bd_queue_put(&n->commands, cmd))
        bd_pause(0.01);
}

void bd_tell_quietly(struct bd_node *n, struct bd_cmd *cmd)
{
    if (!bd_queue_put_quietly(&n->commands, cmd))
        bd_tell(n, cmd);
}

int bd_thread(void *(*run)(void *), void *arg, size_t stack)
{
    pthread_attr_t attr;
    pthread_t t;
    if (pthread_attr_init(&attr) != 0)
        return -1;
    size_t size = stack < (size_t)PTHREAD_STACK_MIN ? (size_t)PTHREAD_STACK_MIN : stack;
    int rc = pthread_attr_setstacksize(&attr, size);
    if (rc == 0)
        rc = pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (rc == 0)
        rc = pthread_create(&t, &attr, run, arg);
    (void)pthread_attr_destroy(&attr);
    return rc == 0 ? 0 : -1;
}

static void changes(struct bd_core *c, json_t *log)
{
    struct bd_change ch;
    json_t *v;
    size_t i;
    json_array_foreach(log, i, v)
    {
        if (bd_wire_change(v, &ch))
            bd_core_change(c, &ch);
    }
}

static void checkin(struct bd_node *n, struct bd_cmd *cmd)
{
    const struct bd_report *r = bd_report_cache_read(n->reports, cmd->text, cmd->len);
    if (r)
        bd_core_checkin(n->core, cmd->request, r, cmd->text, cmd->len);
    else
        bd_api_reply(n, cmd->request, 400, strdup("{\"error\":\"malformed report\"}"), 0);
}

static void did(struct bd_node *n, const struct bd_cmd *cmd)
{
    bd_core_did(n->core, cmd->machine, cmd->number, cmd->flag, cmd->status,
                bd_report_cache_read(n->reports, cmd->text, cmd->len));
}

static void followed(struct bd_node *n, struct bd_cmd *cmd)
{
    if (cmd->outcome)
        changes(n->core, bd_wire_log(cmd->json));
    bd_core_followed(n->core, cmd->after, cmd->ring, cmd->sent, cmd->flag, cmd->outcome);
}

static void relisted(struct bd_node *n, struct bd_cmd *cmd)
{
    changes(n->core, cmd->json);
    bd_core_evict(n->core);
    if (cmd->flag) /* the last page */
        bd_core_relisted(n->core, cmd->ring, cmd->sent);
    atomic_store(&n->page_out, false);
}

static void forwarded(struct bd_node *n, const struct bd_frame *f, const char *text, size_t len)
{
    const struct bd_report *r = bd_report_cache_read(n->reports, text, len);
    if (r)
        bd_core_forwarded(n->core, f->name, f->id, r, text, len);
}

static void peer(struct bd_node *n, const struct bd_cmd *cmd)
{
    struct bd_core *c = n->core;
    const struct bd_frame *f = cmd->data;
    const char *text = cmd->text;
    size_t len = cmd->len;
    if (f->type == BD_FRAME_STATUS)
        bd_core_peer(c, f->name, f->term, f->flags, f->age_ms / 1000.0, (double)f->at_ms / 1000.0,
                     cmd->sent);
    if (f->type == BD_FRAME_REPORT)
        forwarded(n, f, text, len);
    if (f->type == BD_FRAME_ANSWER)
        bd_core_answered(c, f->id, f->status, text, len);
    if (f->type == BD_FRAME_CANCELLED && len < BD_ID)
        bd_core_cancelled_elsewhere(c, text);
    for (unsigned i = 0; i < f->count; i++)
        bd_core_progress(c, f->jobs[i].id, f->jobs[i].done, f->jobs[i].running);
}

static void looked_up(struct bd_node *n, struct bd_cmd *cmd)
{
    struct bd_change ch;
    uint64_t grant;
    long status = cmd->status;
    if (status == 200 && !bd_wire_pair(cmd->json, &ch, &grant))
        status = 0;
    bd_core_looked_up(n->core, cmd->request, cmd->name, cmd->outcome, status,
                      status == 200 ? &ch : NULL);
}

static void worker_cmd(struct bd_node *n, struct bd_cmd *cmd)
{
    struct bd_core *c = n->core;
    switch (cmd->kind) {
    case BD_C_CHECKIN:
        checkin(n, cmd);
        break;
    case BD_C_DID:
        did(n, cmd);
        break;
    case BD_C_TYPES:
        bd_core_types(c, cmd->data, (int)cmd->n);
        break;
    case BD_C_MACHINES:
        bd_core_machines(c, cmd->data, cmd->n, cmd->sent);
        break;
    case BD_C_PROVISIONED:
        bd_core_provisioned(c, cmd->name, cmd->status, cmd->data, (int)cmd->n);
        break;
    case BD_C_PEER:
        peer(n, cmd);
        break;
    case BD_C_DELEGATES:
        bd_core_delegates(c, cmd->json, cmd->sent);
        break;
    case BD_C_DELEGATE_COMMITTED:
        bd_core_delegate_committed(c, cmd->status, cmd->ring, cmd->sent, cmd->flag);
        break;
    case BD_C_LOOKED_UP:
        looked_up(n, cmd);
        break;
    case BD_C_RETURNED:
        bd_core_returned(c, cmd->data, (int)cmd->n, cmd->status == 200);
        break;
    default:
        break;
    }
}

static void apply(struct bd_node *n, struct bd_cmd *cmd)
{
    struct bd_core *c = n->core;
    switch (cmd->kind) {
    case BD_C_SUBMIT:
        bd_core_submit(c, cmd->request, cmd->text, cmd->len);
        break;
    case BD_C_GET:
        bd_core_get(c, cmd->request, cmd->name);
        break;
    case BD_C_CANCEL:
        bd_core_cancel(c, cmd->request, cmd->name);
        break;
    case BD_C_USER_COMMITTED:
        bd_core_user_committed(c, cmd->request, cmd->name, cmd->text, cmd->outcome, cmd->status,
                               cmd->ring);
        break;
    case BD_C_FOLLOWED:
        followed(n, cmd);
        break;
    case BD_C_RELISTED:
        relisted(n, cmd);
        break;
    case BD_C_LEADER_IS:
        if (c->role == BD_FOLLOWER && !n->pending_gain)
            bd_core_leader_is(c, cmd->name, cmd->number, cmd->sent, cmd->flag);
        break;
    case BD_C_LIVENESS_SENT:
        bd_core_liveness_sent(c, cmd->sent);
        break;
    case BD_C_LIVENESS_WRITTEN:
        bd_core_liveness_written(c, cmd->sent);
        break;
    case BD_C_RENEWED:
        bd_core_renewed(c, cmd->number, cmd->sent);
        break;
    case BD_C_LOST:
        bd_core_lost(c);
        break;
    case BD_C_BUSY:
        bd_core_busy(c);
        break;
    case BD_C_COMMITTED:
        /* an answer to an earlier term's transaction says nothing about ours */
        bd_metrics_time(n->metrics, BD_TIMING_COMMIT, bd_between(n->commit_sent, c->now));
        if (cmd->term == c->base_term && cmd->number == c->sequence)
            bd_core_committed(c, cmd->outcome, cmd->ring, bd_wire_failed(cmd->json));
        break;
    default:
        worker_cmd(n, cmd);
    }
}

static void give(struct bd_node *n, struct bd_queue *q, struct bd_effect *e)
{
    while (!bd_queue_put(q, e)) {
        bd_say(&n->log, BD_ERROR, "an adapter's queue is full");
        bd_pause(0.05);
    }
}

/* Towards another controller: a report to the leader, or the answer to one. */
static void pass_on(struct bd_node *n, const struct bd_effect *e)
{
    struct bd_frame f;
    f.type = e->kind == BD_E_FORWARD ? BD_FRAME_REPORT : BD_FRAME_ANSWER;
    snprintf(f.name, sizeof f.name, "%s", n->settings.node);
    f.id = e->token;
    f.status = (uint16_t)e->status;
    f.text = e->body;
    f.len = e->body ? (uint32_t)strlen(e->body) : 0;
    f.count = 0;
    if (!bd_transport_send(n, (int)e->machine, &f))
        bd_say(&n->log, BD_DEBUG, "a frame to another controller was dropped");
}

/* To all controllers that understand it; the others learn of it from the records, as we would. */
static void tell_cancelled(struct bd_node *n, const char *id)
{
    struct bd_frame f;
    f.type = BD_FRAME_CANCELLED;
    f.text = id;
    f.len = (uint32_t)strlen(id);
    f.count = 0;
    for (int i = 0; i < n->settings.npeers; i++)
        if (n->core->peers[i].flags & BD_PEER_NEWS)
            (void)bd_transport_send(n, i, &f);
}

static void perform(struct bd_node *n, struct bd_effect *e)
{
    switch (e->kind) {
    case BD_E_REPLY:
        bd_api_reply(n, e->request, e->status, e->body, e->retry_after);
        e->body = NULL;
        break;
    case BD_E_BARRIER:
        atomic_store(&n->want_barrier, true);
        (void)bd_queue_put(&n->reader_wake, n);
        break;
    case BD_E_CANCELLED:
        tell_cancelled(n, e->key);
        break;
    case BD_E_LOST:
        atomic_store(&n->give_up, e->status == BD_LOST_GIVEN_UP);
        atomic_store(&n->step_down, true);
        break;
    case BD_E_FORWARD:
    case BD_E_ANSWER:
        pass_on(n, e);
        break;
    case BD_E_DELEGATE:
        give(n, &n->to_users, e);
        return;
    case BD_E_LOOKUP:
        if (bd_queue_put(&n->to_users, e))
            return;
        bd_core_looked_up(n->core, e->request, e->key, e->status, 0, NULL);
        break;
    case BD_E_USER_COMMIT:
        if (bd_queue_put(&n->to_users, e))
            return;
        bd_api_reply(n, e->request, 503, strdup("{\"error\":\"busy\"}"), 1);
        break;
    case BD_E_COMMIT:
        n->commit_sent = n->core->now;
        give(n, &n->to_commit, e);
        return;
    case BD_E_DO:
        bd_worker_client_send(n, e);
        return;
    case BD_E_PROVISION:
    case BD_E_RETURN:
        give(n, &n->to_cloud, e);
        return;
    }
    bd_effect_free(e);
}

static void effects(struct bd_node *n)
{
    bool sends = false; /* to other controllers */
    struct bd_effect *e = bd_core_effects(n->core);
    while (e) {
        struct bd_effect *next = e->next;
        sends =
            sends || e->kind == BD_E_FORWARD || e->kind == BD_E_ANSWER || e->kind == BD_E_CANCELLED;
        perform(n, e);
        e = next ? next : bd_core_effects(n->core); /* one that failed may have others follow */
    }
    if (sends)
        bd_transport_flush(n);
    atomic_store(&n->leading, n->core->role == BD_LEADER);
    atomic_store(&n->ring, n->core->ring);
    atomic_store(&n->up, bd_core_up(n->core));
    atomic_store(&n->types_known, n->core->types_known);
}

static void add_progress(struct bd_node *n, const struct bd_job *j)
{
    if (n->nprogress == n->cap_progress) {
        uint32_t cap = n->cap_progress ? n->cap_progress * 2 : 64;
        struct bd_progress *p = realloc(n->progress, cap * sizeof *p);
        if (!p)
            return;
        n->progress = p;
        n->cap_progress = cap;
    }
    struct bd_progress *p = &n->progress[n->nprogress++];
    memcpy(p->id, j->id, sizeof p->id);
    p->done = j->ndone;
    p->running = j->nrun;
}

/* What the other controllers are told of us; the leader adds its jobs' counts, for the others to
 * show. */
static void status(struct bd_node *n)
{
    struct bd_core *c = n->core;
    struct bd_job *j, *jt;
    if (bd_before(c->now, n->next_status))
        return;
    n->next_status = bd_add(c->now, bd_secs(STATUS_S));
    double age = bd_between(c->refreshed_at, c->now);
    (void)pthread_mutex_lock(&n->status_lock);
    n->status.term = c->role == BD_LEADER ? c->term : 0;
    n->status.flags = c->role == BD_LEADER ? BD_PEER_LEADS : 0;
    n->status.flags |= BD_PEER_DEPS | BD_PEER_NEWS;
    if (bd_core_hears_leader(c))
        n->status.flags |= BD_PEER_HEARS;
    if (c->role == BD_LEADER && c->inbound_cut)
        n->status.flags |= BD_PEER_INBOUND_CUT;
    if (age < 1.0 && c->replica_ready)
        n->status.flags |= BD_PEER_STATE;
    if (bd_core_cut(c))
        n->status.flags |= BD_PEER_CUT;
    n->status.at_ms = (uint64_t)(c->wall * 1000);
    n->status.age_ms = age > 1e6 ? 1000000000u : (uint32_t)(age * 1000);
    n->nprogress = 0;
    if (c->role == BD_LEADER) {
        HASH_ITER(hh, c->jobs, j, jt)
        {
            if (j->state == BD_LIVE && j->tasks && (j->ndone || j->nrun))
                add_progress(n, j);
        }
    }
    (void)pthread_mutex_unlock(&n->status_lock);
}

/* A gained term takes effect once the replica is at least as new as the term itself. */
static void gain(struct bd_node *n)
{
    struct bd_cmd *g = n->pending_gain;
    if (!g || !n->core->replica_ready || n->core->ring < g->gain.term)
        return;
    n->pending_gain = NULL;
    g->gain.nonce = g->name;
    bd_core_gained(n->core, &g->gain);
    bd_metrics_time(n->metrics, BD_TIMING_TAKEOVER, bd_between(g->sent, bd_now()));
    bd_cmd_free(g);
}

/* A tick of the core; if it planned a round, how long that took. */
static void tick(struct bd_node *n)
{
    struct timespec began = bd_now();
    bool under_way = n->core->commit != NULL;
    bd_core_tick(n->core);
    if (!under_way && n->core->commit)
        bd_metrics_time(n->metrics, BD_TIMING_ROUND, bd_between(began, bd_now()));
}

static struct timespec clock_core(struct bd_node *n)
{
    struct timespec wall = {0, 0}, now = bd_now();
    (void)clock_gettime(CLOCK_REALTIME, &wall);
    bd_core_time(n->core, now, bd_to_secs(wall));
    return now;
}

static void report(struct bd_node *n)
{
    struct timespec now = n->core->now;
    if (bd_before(now, n->next_report))
        return;
    uint32_t all, repeated;
    bd_report_cache_counts(n->reports, &all, &repeated);
    if (all > 0)
        bd_say(&n->log, BD_INFO, "reports: %u, %u of them as the machine's last", all, repeated);
    if (!bd_is_zero(n->reported))
        bd_metrics_report(n->metrics, &n->log, bd_between(n->reported, now));
    n->reported = now;
    n->next_report = bd_add(now, bd_secs(REPORT_S));
}

void bd_event_loop_run(struct bd_node *n)
{
    void *batch[BATCH];
    for (;;) {
        struct timespec until = bd_min(bd_core_next(n->core), n->next_status);
        size_t got = bd_queue_take(&n->commands, batch, BATCH, until);
        (void)clock_core(n);
        for (size_t i = 0; i < got; i++) {
            struct bd_cmd *cmd = batch[i];
            if (cmd->kind == BD_C_GAINED) {
                n->pending_gain = cmd;
                continue;
            }
            if (cmd->kind == BD_C_LOST && n->pending_gain) {
                bd_cmd_free(n->pending_gain);
                n->pending_gain = NULL;
            }
            if (!bd_is_zero(cmd->queued))
                bd_metrics_time(n->metrics, BD_TIMING_QUEUE, bd_between(cmd->queued, n->core->now));
            apply(n, cmd);
            bd_cmd_free(cmd);
        }
        gain(n);
        tick(n);
        effects(n);
        status(n);
        report(n);
    }
}

int bd_node_start(struct bd_node *n)
{
    if (bd_http_start() != 0 || bd_queue_init(&n->commands, QUEUE_CAP) != 0 ||
        bd_queue_init(&n->to_commit, 16) != 0 || bd_queue_init(&n->to_users, 64) != 0 ||
        bd_queue_init(&n->to_cloud, 64) != 0 || bd_queue_init(&n->reader_wake, 4) != 0)
        return -1;
    n->metrics = bd_metrics_new();
    n->core = bd_core_new(&n->settings, &n->log);
    n->reports = bd_report_cache_new((size_t)(n->settings.ram_mb * REPORTS_SHARE * 1048576.0));
    if (!n->core || !n->metrics || !n->reports)
        return -1;
    n->core->metrics = n->metrics;
    uint64_t seed = 0;
    if (getrandom(&seed, sizeof seed, GRND_NONBLOCK) != (ssize_t)sizeof seed)
        seed = (uint64_t)bd_now().tv_nsec << 20;
    bd_core_seed(n->core, seed >> 1);
    (void)clock_core(n);
    if (bd_state_client_start(n) != 0 || bd_cloud_start(n) != 0 || bd_worker_client_start(n) != 0 ||
        bd_election_start(n) != 0 || bd_transport_start(n) != 0)
        return -1;
    if (bd_api_start(n) != 0) {
        bd_say(&n->log, BD_ERROR, "cannot listen on %s", n->settings.api_addr);
        return -1;
    }
    return 0;
}
