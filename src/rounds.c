/* The leader's rounds: intents, receipts and done records go into one fenced transaction at a
 * time; recovery reads them back. */
#include "core_in.h"
#include "metrics.h"
#include <stdio.h>

/* named defaults */
#define ROUND_S 0.05
#define ROUND_MOST_S 0.5
#define ROUND_SHARE 0.3 /* of the processor that rounds may take */
#define REFRESH_S 1e-7  /* for one job at one machine, on a whole core (callgrind, about) */
#define GC_S 2.0
#define GC_AGAIN_S 0.3 /* when there was more than one transaction takes */
#define EVICT_S 10.0
#define WRITE_SHARE 0.6 /* of the state service's changes; the rest is the users' */
#define TXN_BYTES 56000u
#define INTENT_BYTES 42000u /* of them for intent records */
#define TOKEN_RAISE_AFTER_S 1.5
#define TOKEN_RAISE_EVERY_S 5.0
#define FORGET_RAISE_S 25.0 /* so long results stay on the machines before the seal rises */
#define WITHHELD_MOST 4000u /* ... or until reports show so many */

static const char hex[] = "0123456789abcdef";

/* ---- building ---- */

struct build {
    struct bd_txn t;
    size_t ops, most_ops, bytes, conds, most_conds;
};

static bool room_for(const struct build *b, size_t ops, size_t conds, size_t bytes)
{
    return b->ops + ops <= b->most_ops && b->conds + conds <= b->most_conds &&
           b->bytes + bytes <= TXN_BYTES;
}

static void spend(struct build *b, size_t ops, size_t conds, size_t bytes)
{
    b->ops += ops;
    b->conds += conds;
    b->bytes += bytes;
}

static void if_job(struct build *b, const struct bd_job *j)
{
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/%s", j->id);
    bd_txn_if(&b->t, key, j->mark);
    spend(b, 0, 1, 80);
}

/* How many intent records a transaction may hold beside receipts. */
uint32_t bd_round_parts(const struct bd_core *c)
{
    size_t n = INTENT_BYTES / c->limits.value_bytes, ops = bd_limits_ops(c) / 4;
    n = n < ops ? n : ops;
    return n < 1 ? 1 : n > BD_ROUND_PARTS ? BD_ROUND_PARTS : (uint32_t)n;
}

static bool same_group(const struct bd_intent *a, const struct bd_intent *b)
{
    return a->job == b->job && a->machine == b->machine && a->attempt == b->attempt;
}

/* The value of one record, from the entries that fit it; *n says how many they were. */
static json_t *intent_value(struct bd_core *c, const struct bd_intent *e, uint32_t *n)
{
    json_t *list = json_array();
    double room = BD_VALUE_SHARE * (double)c->limits.value_bytes;
    uint32_t i = 0;
    while (i < *n) {
        struct bd_machine *m = bd_machine_of(c, e[i].machine);
        size_t head = m ? bd_group_bytes(e[i].job, m) : BD_LABEL;
        uint32_t k = i;
        json_t *tasks = json_array();
        room -= (double)head;
        for (; k < *n && same_group(&e[k], &e[i]) && room >= BD_TASK_BYTES; k++) {
            json_array_append_new(tasks, json_integer(e[k].task));
            room -= BD_TASK_BYTES;
        }
        if (k == i) {
            json_decref(tasks);
            break;
        }
        json_array_append_new(list, json_pack("[s,I,s,o]", e[i].job->id, (json_int_t)e[i].attempt,
                                              m ? m->id : "?", tasks));
        i = k;
    }
    *n = i;
    return json_pack("{s:o}", "e", list);
}

static void add_intents(struct bd_core *c, struct build *b)
{
    struct bd_commit *k = c->commit;
    struct bd_job *prev = NULL;
    for (uint32_t i = 0; i < k->nplan; i++) {
        if (k->plan[i].job != prev)
            if_job(b, k->plan[i].job);
        prev = k->plan[i].job;
    }
    for (uint32_t i = 0; i < k->nplan && k->nparts < bd_round_parts(c);) {
        struct bd_part *p = &k->parts[k->nparts++];
        p->from = i;
        p->n = k->nplan - i;
        snprintf(p->key, sizeof p->key, "i/%020llu-%08llu", (unsigned long long)c->base_term,
                 (unsigned long long)++c->round_n);
        bd_txn_set(&b->t, p->key, intent_value(c, k->plan + i, &p->n), 0);
        spend(b, 1, 0, c->limits.value_bytes);
        i += p->n;
    }
}

/* What no record had room for is not started: its time comes in the next round. */
static void unplan_rest(struct bd_core *c)
{
    struct bd_commit *k = c->commit;
    uint32_t named = k->nparts ? k->parts[k->nparts - 1].from + k->parts[k->nparts - 1].n : 0;
    for (uint32_t i = named; i < k->nplan; i++)
        bd_task_free(c, k->plan[i].job, k->plan[i].task);
    if (named < k->nplan)
        bd_say(c->log, BD_ERROR, "%u starts did not fit the intent records", k->nplan - named);
    k->nplan = named;
}

/* The job's record, on condition that it is the one that we know; `bytes` of it, at most. */
static void add_record(struct build *b, const struct bd_job *j, json_t *record, size_t bytes)
{
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/%s", j->id);
    if_job(b, j);
    bd_txn_set(&b->t, key, record, 0);
    spend(b, 1, 0, bytes);
}

static bool add_done(struct bd_core *c, struct build *b, struct bd_job *j)
{
    struct bd_commit *k = c->commit;
    if (k->ndone == sizeof k->done / sizeof *k->done || !room_for(b, 1, 1, 300))
        return false;
    struct bd_record r = {.state = BD_DONE, .tasks = j->ntasks, .at = j->at, .end = c->wall};
    snprintf(r.spec.job_class, sizeof r.spec.job_class, "%s", bd_class_name(c, j->job_class));
    add_record(b, j, bd_wire_record(&r), 200);
    k->done[k->ndone++] = j;
    return true;
}

/* The leader makes durable, as the rate allows, what follows from other jobs' cancellations. */
static void add_cancelled(struct bd_core *c, struct build *b)
{
    struct bd_commit *k = c->commit;
    struct bd_job *j, *jt;
    const size_t most = 1000; /* of a cancelled record */
    if (c->nderived == 0)
        return;
    HASH_ITER(hh, c->jobs, j, jt)
    {
        if (!j->derived || j->stale || bd_before(c->now, j->backoff_until))
            continue;
        if (k->ncancelled == sizeof k->cancelled / sizeof *k->cancelled || !room_for(b, 1, 1, most))
            return;
        add_record(b, j, bd_cancelled_record(j), most);
        k->cancelled[k->ncancelled++] = j;
    }
}

static void receipt_bits(const struct bd_job *j, struct bd_receipt *r)
{
    uint32_t from = r->chunk * CHUNK;
    memset(r->bits, 0, sizeof r->bits);
    for (uint32_t i = 0; i < CHUNK && from + i < j->ntasks; i++)
        if (j->tasks[from + i].state == BD_T_DONE)
            r->bits[i / 8] |= (unsigned char)(1u << (i % 8));
}

static json_t *receipt_value(const struct bd_job *j, const struct bd_receipt *r)
{
    char text[CHUNK / 4 + 1];
    uint32_t left = j->ntasks - r->chunk * CHUNK;
    uint32_t n = ((left < CHUNK ? left : CHUNK) + 7) / 8;
    for (uint32_t i = 0; i < n; i++) {
        text[2 * i] = hex[r->bits[i] >> 4];
        text[2 * i + 1] = hex[r->bits[i] & 15];
    }
    text[2 * n] = '\0';
    return json_pack("{s:s}", "b", text);
}

static bool add_receipt(struct bd_core *c, struct build *b, struct bd_job *j, uint32_t chunk)
{
    struct bd_commit *k = c->commit;
    uint32_t left = j->ntasks - chunk * CHUNK;
    size_t bytes = (left < CHUNK ? left : CHUNK) / 4 + 16;
    if (!room_for(b, 1, 1, bytes + 200))
        return false;
    if (bytes > c->limits.value_bytes) /* fits no value any more: its done record says it */
        return true;
    struct bd_receipt *grown = realloc(k->receipts, (k->nreceipts + 1) * sizeof *grown);
    if (!grown)
        return false;
    k->receipts = grown;
    struct bd_receipt *r = &k->receipts[k->nreceipts++];
    r->job = j;
    r->chunk = chunk;
    receipt_bits(j, r);
    char key[BD_LABEL];
    snprintf(key, sizeof key, "r/%s/%u", j->id, chunk);
    bd_txn_set(&b->t, key, receipt_value(j, r), 0);
    spend(b, 1, 0, bytes + 100);
    return true;
}

static void add_receipts(struct bd_core *c, struct build *b)
{
    struct bd_job *j, *jt;
    HASH_ITER(hh, c->jobs, j, jt)
    {
        if (!j->dirty || !j->tasks || j->state != BD_LIVE || j->stale ||
            bd_before(c->now, j->backoff_until))
            continue;
        if (j->ndone == j->ntasks) {
            if (!add_done(c, b, j))
                return;
            continue;
        }
        bool any = false;
        for (uint32_t ch = 0; ch * CHUNK < j->ntasks; ch++) {
            if (!(j->dirty_chunks >> ch & 1))
                continue;
            if (!any)
                if_job(b, j);
            any = true;
            if (!add_receipt(c, b, j, ch))
                return;
        }
    }
}

static bool round_live(const struct bd_round *r)
{
    for (uint32_t i = 0; i < r->n; i++) {
        const struct bd_intent *e = &r->e[i];
        if (!e->job->tasks)
            continue;
        const struct bd_task *t = &e->job->tasks[e->task];
        if (t->attempt == e->attempt && t->machine == e->machine)
            return true;
    }
    return false;
}

static void drop_key(struct bd_core *c, struct build *b, const char *key)
{
    struct bd_commit *k = c->commit;
    bd_txn_drop(&b->t, key);
    spend(b, 1, 0, 80);
    snprintf(k->dropped[k->ndropped++], BD_LABEL, "%s", key);
}

static bool can_drop(const struct bd_core *c, const struct build *b)
{
    return c->commit->ndropped < sizeof c->commit->dropped / BD_LABEL && room_for(b, 1, 0, 80);
}

/* Records that nothing needs any more. */
static void add_drops(struct bd_core *c, struct build *b)
{
    struct bd_job *j, *jt;
    char key[BD_LABEL];
    if (*c->stale_delegate && can_drop(c, b))
        drop_key(c, b, c->stale_delegate);
    c->stale_delegate[0] = '\0';
    for (uint32_t i = 0; i < c->nrounds && can_drop(c, b); i++)
        if (!round_live(&c->rounds[i]))
            drop_key(c, b, c->rounds[i].key);
    HASH_ITER(hh, c->jobs, j, jt)
    {
        if (j->state == BD_CANCELLED && j->tasks && j->nlive == 0)
            bd_job_unlead(j); /* nothing of it is anywhere any more */
        if (j->state == BD_LIVE || !j->receipt_chunks)
            continue;
        for (uint32_t ch = 0; ch < 64 && can_drop(c, b); ch++) {
            if (j->receipt_chunks >> ch & 1) {
                snprintf(key, sizeof key, "r/%s/%u", j->id, ch);
                drop_key(c, b, key);
                j->receipt_chunks &= ~(1ull << ch);
            }
        }
    }
}

static void add_token_raise(struct bd_core *c, struct build *b)
{
    if (!c->want_token_raise)
        return;
    c->want_token_raise = false;
    c->commit->raises_token = true;
    json_t *away = bd_dismissed(c);
    bd_txn_set(
        &b->t, "leader",
        json_pack("{s:s,s:s,s:o}", "node", c->settings->node, "nonce", c->nonce, "away", away),
        c->grant);
    spend(b, 1, 0, 200);
}

void bd_round_commit(struct bd_core *c)
{
    struct bd_commit *k = c->commit;
    struct build b = {.most_ops = bd_limits_ops(c) - 1, .most_conds = 4 * c->limits.txn_ops - 2};
    if (!bd_txn_start(&b.t))
        abort();
    bd_txn_if(&b.t, "leader", c->term);
    bd_txn_if(&b.t, "w", c->sequence_mark);
    add_token_raise(c, &b);
    add_intents(c, &b);
    unplan_rest(c);
    add_receipts(c, &b);
    add_cancelled(c, &b);
    if (bd_before(c->next_gc, c->now)) {
        add_drops(c, &b);
        /* thousands of old intents would slow the next takeover */
        c->next_gc = bd_add(c->now, bd_secs(can_drop(c, &b) ? GC_S : GC_AGAIN_S));
    }
    if (b.ops == 0) {
        free(bd_txn_end(&b.t));
        bd_commit_free(k);
        c->commit = NULL;
        return;
    }
    c->sequence++;
    bd_txn_set(&b.t, "w",
               json_pack("{s:I,s:I}", "t", (json_int_t)c->base_term, "n", (json_int_t)c->sequence),
               0);
    c->write_tokens -= (double)(b.ops + 1);
    struct bd_effect *e = bd_emit(c, BD_E_COMMIT);
    e->body = bd_txn_end(&b.t);
    e->token = c->sequence;
    snprintf(e->key, sizeof e->key, "%llu", (unsigned long long)c->base_term);
}

/* ---- outcome ---- */

static void keep_round(struct bd_core *c, const char *key, struct bd_intent *e, uint32_t n)
{
    if (c->nrounds == c->cap_rounds) {
        uint32_t cap = c->cap_rounds ? c->cap_rounds * 2 : 64;
        struct bd_round *r = realloc(c->rounds, cap * sizeof *r);
        if (!r)
            abort();
        c->rounds = r;
        c->cap_rounds = cap;
    }
    struct bd_round *r = &c->rounds[c->nrounds++];
    memset(r, 0, sizeof *r);
    snprintf(r->key, sizeof r->key, "%s", key);
    r->e = e;
    r->n = n;
}

static void launch_planned(struct bd_core *c, struct bd_commit *k)
{
    for (uint32_t i = 0; i < k->nplan; i++) {
        struct bd_intent *e = &k->plan[i];
        struct bd_task *t = e->job->tasks ? &e->job->tasks[e->task] : NULL;
        if (!t || t->state != BD_T_PLAN || t->attempt != e->attempt)
            continue;
        struct bd_machine *m = bd_machine_of(c, t->machine);
        if (e->job->state != BD_LIVE || bd_cancel_heard(c, e->job) || !m || m->gone ||
            m->returning) {
            bd_task_free(c, e->job, e->task);
            continue;
        }
        bd_task_set(c, e->job, e->task, BD_T_LAUNCH);
        if (!e->job->started)
            bd_metrics_time(c->metrics, BD_TIMING_START, c->wall - e->job->ready);
        e->job->started = true;
        bd_remember_image(c, m, &e->job->spec, false);
    }
    for (uint32_t i = 0; i < k->nplan; i++) {
        struct bd_machine *m = bd_machine_of(c, k->plan[i].machine);
        if (m)
            bd_orders_send(c, m);
    }
    for (uint32_t i = 0; i < k->nparts; i++) {
        const struct bd_part *p = &k->parts[i];
        struct bd_intent *e = malloc((p->n + 1) * sizeof *e);
        if (!e)
            abort();
        memcpy(e, k->plan + p->from, p->n * sizeof *e);
        keep_round(c, p->key, e, p->n);
    }
}

static void receipt_kept(struct bd_receipt *r)
{
    struct bd_job *j = r->job;
    if (!j->tasks)
        return;
    j->receipt_chunks |= 1ull << r->chunk;
    uint32_t from = r->chunk * CHUNK;
    bool all = true;
    for (uint32_t i = 0; i < CHUNK && from + i < j->ntasks; i++) {
        struct bd_task *t = &j->tasks[from + i];
        if (r->bits[i / 8] >> (i % 8) & 1)
            t->flags |= BD_F_RECEIPT;
        else if (t->state == BD_T_DONE)
            all = false;
    }
    if (all)
        j->dirty_chunks &= ~(1u << r->chunk);
    j->dirty = j->dirty_chunks != 0;
}

static void forget_rounds(struct bd_core *c, const struct bd_commit *k)
{
    for (uint32_t d = 0; d < k->ndropped; d++) {
        for (uint32_t i = 0; i < c->nrounds; i++) {
            if (strcmp(c->rounds[i].key, k->dropped[d]) == 0) {
                free(c->rounds[i].e);
                c->rounds[i] = c->rounds[--c->nrounds];
                break;
            }
        }
    }
}

static void done_kept(struct bd_core *c, struct bd_job *j, uint64_t ring)
{
    double age = c->wall - j->at;
    bd_say(
        c->log, BD_INFO,
        "%s is done: %u tasks, rank %d, guess %.0f s; last placed after %.1f s, last begun after "
        "%.1f s, done after %.1f s, %u places lost",
        j->id, j->ntasks, (int)j->spec.rank, j->spec.estimate,
        age - bd_between(j->last_placed, c->now), age - bd_between(j->last_begun, c->now), age,
        j->restarts);
    j->mark = ring;
    j->state = BD_DONE;
    j->end = c->wall;
    bd_job_unlead(j);
    json_decref(j->record_spec);
    j->record_spec = NULL;
    bd_deps_settled(c, j); /* now, and not before, what waits for it may start */
}

static void kept(struct bd_core *c, struct bd_commit *k, uint64_t ring)
{
    c->sequence_mark = ring;
    if (k->raises_token) {
        c->term = ring;
        c->last_token_raise = c->now;
        c->fenced_attempt = (c->base_term << 20) + c->counter;
        c->withheld = 0;
    }
    for (uint32_t i = 0; i < k->nreceipts; i++)
        receipt_kept(&k->receipts[i]);
    forget_rounds(c, k);
    if (k->nplan)
        launch_planned(c, k);
    for (uint32_t i = 0; i < k->ndone; i++)
        done_kept(c, k->done[i], ring);
    for (uint32_t i = 0; i < k->ncancelled; i++) {
        k->cancelled[i]->mark = ring;
        bd_deps_written(c, k->cancelled[i]);
    }
}

static void refused(struct bd_core *c, struct bd_commit *k, json_t *failed)
{
    json_t *v;
    size_t i;
    json_array_foreach(failed, i, v)
    {
        const char *key = json_string_value(v);
        struct bd_job *j = key && strncmp(key, "j/", 2) == 0 ? bd_job_find(c, key + 2) : NULL;
        if (j)
            j->stale = true; /* the change itself comes with the next look */
    }
    for (uint32_t n = 0; n < k->nplan; n++) {
        struct bd_intent *e = &k->plan[n];
        if (e->job->tasks && e->job->tasks[e->task].state == BD_T_PLAN &&
            e->job->tasks[e->task].attempt == e->attempt)
            bd_task_free(c, e->job, e->task);
    }
    c->want_token_raise = c->want_token_raise || k->raises_token;
    /* the same number is never used for another content */
}

/* Called malformed: nothing was applied. All of it is decided anew, in smaller pieces. */
static void too_large(struct bd_core *c, struct bd_commit *k)
{
    if (bd_limits_refused(c, "a round's transaction"))
        return;
    for (uint32_t i = 0; i < k->nplan; i++)
        bd_limits_back_off(c, k->plan[i].job);
    for (uint32_t i = 0; i < k->nreceipts; i++)
        bd_limits_back_off(c, k->receipts[i].job);
    for (uint32_t i = 0; i < k->ndone; i++)
        bd_limits_back_off(c, k->done[i]);
    for (uint32_t i = 0; i < k->ncancelled; i++)
        bd_limits_back_off(c, k->cancelled[i]);
}

void bd_core_committed(struct bd_core *c, int outcome, uint64_t ring, json_t *failed)
{
    struct bd_commit *k = c->commit;
    if (!k || c->role != BD_LEADER)
        return;
    if (outcome < 0) {
        bd_core_lost(c);
        return;
    }
    c->commit = NULL;
    if (outcome == 2)
        too_large(c, k);
    if (outcome == 1)
        kept(c, k, ring);
    else
        refused(c, k, failed);
    bd_commit_free(k);
    c->round_wanted = true;
}

/* ---- recovery ---- */

static void load_receipt(struct bd_core *c, const char *key, json_t *value)
{
    char id[BD_ID];
    uint32_t chunk = 0;
    if (strncmp(key, "r/", 2) != 0 || !bd_wire_task_name(key + 2, id, &chunk))
        return;
    struct bd_job *j = bd_job_find(c, id);
    const char *text = json_string_value(json_object_get(value, "b"));
    if (!j || !text || chunk >= 64)
        return;
    j->receipt_chunks |= 1ull << chunk;
    if (!j->tasks)
        return;
    for (uint32_t i = 0; text[i]; i++) {
        const char *p = strchr(hex, text[i]);
        for (uint32_t bit = 0; p && bit < 4; bit++) {
            uint32_t task = chunk * CHUNK + (i / 2) * 8 + (i % 2 ? bit : bit + 4);
            if (!((p - hex) >> bit & 1) || task >= j->ntasks)
                continue;
            if (j->tasks[task].state != BD_T_DONE)
                bd_task_set(c, j, task, BD_T_DONE);
            j->tasks[task].flags |= BD_F_RECEIPT;
        }
    }
    if (j->ndone == j->ntasks)
        j->dirty = true;
}

static void load_group(struct bd_core *c, json_t *g, struct bd_intent **e, uint32_t *n)
{
    struct bd_job *j = bd_job_find(
        c, json_string_value(json_array_get(g, 0)) ? json_string_value(json_array_get(g, 0)) : "");
    uint64_t attempt = (uint64_t)json_integer_value(json_array_get(g, 1));
    const char *machine = json_string_value(json_array_get(g, 2));
    json_t *tasks = json_array_get(g, 3), *v;
    size_t i;
    if (!j || !j->tasks || !machine)
        return;
    struct bd_intent *grown = realloc(*e, (*n + json_array_size(tasks) + 1) * sizeof *grown);
    if (!grown)
        abort();
    *e = grown;
    struct bd_machine *m = bd_machine_get(c, machine);
    json_array_foreach(tasks, i, v)
    {
        uint32_t task = (uint32_t)json_integer_value(v);
        if (task >= j->ntasks)
            continue;
        (*e)[(*n)++] = (struct bd_intent){j, task, m->index, attempt};
        if (attempt > j->tasks[task].attempt)
            j->tasks[task].attempt = attempt;
    }
}

static void load_intents(struct bd_core *c, json_t *pairs)
{
    struct bd_change ch;
    json_t *v, *g;
    size_t i, k;
    json_array_foreach(pairs, i, v)
    {
        struct bd_intent *e = NULL;
        uint32_t n = 0;
        if (!bd_wire_change(v, &ch))
            continue;
        json_array_foreach(json_object_get(ch.value, "e"), k, g)
        {
            load_group(c, g, &e, &n);
        }
        keep_round(c, ch.key, e, n);
    }
}

/* Only the newest intent of a task counts: it was written after all earlier ones were excluded. */
static void classify(struct bd_core *c)
{
    uint32_t unknown = 0;
    for (uint32_t r = 0; r < c->nrounds; r++) {
        for (uint32_t k = 0; k < c->rounds[r].n; k++) {
            struct bd_intent *e = &c->rounds[r].e[k];
            struct bd_task *t = &e->job->tasks[e->task];
            struct bd_machine *m = bd_machine_of(c, e->machine);
            if (t->state != BD_T_WAIT || t->attempt != e->attempt || !m)
                continue;
            bd_task_assign(c, e->job, e->task, m, e->attempt, BD_T_UNKNOWN);
            t->flags |= BD_F_SENT;
            if (e->job->state != BD_LIVE)
                t->flags |= BD_F_STOP | BD_F_FORCE;
            unknown++;
        }
    }
    bd_say(c->log, BD_INFO, "term %llu: %u intent records, %u tasks to be accounted for",
           (unsigned long long)c->base_term, c->nrounds, unknown);
}

void bd_core_gained(struct bd_core *c, const struct bd_gain *g)
{
    struct bd_job *j, *jt;
    struct bd_change ch;
    json_t *v;
    size_t i;
    c->role = BD_LEADER;
    c->base_term = c->term = g->term;
    c->grant = g->grant;
    c->counter = 0;
    c->fenced_attempt = g->term << 20; /* earlier terms' launches carried lower seals */
    c->withheld = 0;
    c->round_n = 0;
    c->request_n = 0;
    c->sequence_mark = g->sequence_mark;
    c->sequence = g->sequence;
    c->listed_once = false;
    snprintf(c->nonce, sizeof c->nonce, "%s", g->nonce);
    bd_core_leader_is(c, c->settings->node, g->term, g->renewed, false);
    bd_delegate_end(c);
    c->delegates_read = c->now;
    /* an earlier leader in its grace, or a deputy of one, may have answered until then */
    double rest = bd_grace_s(c->settings) - bd_to_secs(c->settings->leader_ttl);
    rest = rest > DELEGATE_FRESH_S ? rest : DELEGATE_FRESH_S;
    c->others_lapse = bd_lease_end(c, bd_add(c->now, bd_secs(rest)));
    HASH_ITER(hh, c->jobs, j, jt)
    {
        j->receipt_chunks = 0;
        /* withdrawn jobs too: what still runs of them counts and must be stopped */
        if (j->state != BD_DONE && !bd_job_lead(c, j))
            bd_say(c->log, BD_ERROR, "%s: no memory for its tasks", j->id);
    }
    json_array_foreach(g->receipts, i, v)
    {
        if (bd_wire_change(v, &ch))
            load_receipt(c, ch.key, ch.value);
    }
    load_intents(c, g->intents);
    classify(c);
    c->valid_until = c->renewed = g->renewed;
    bd_core_renewed(c, g->grant, g->renewed);
    c->round_wanted = true;
}

/* ---- time ---- */

static void lapses(struct bd_core *c)
{
    struct timespec until[BD_MAX_ZONES];
    bd_standby_zones(c, until);
    for (uint32_t i = 0; i < c->nmachines; i++) {
        struct bd_machine *m = c->by_index[i];
        if (m->gone || m->nrefs == 0)
            continue;
        struct timespec answered = bd_standby_until(c, m, until);
        if (!bd_is_zero(answered)) /* a controller of its cut zone may have answered it */
            m->lapse_at = bd_max(m->lapse_at, bd_lease_end(c, answered));
        if (bd_before(c->now, m->lapse_at))
            continue;
        /* a deputy may have answered it: a look begun after the lease's end must not show it */
        if (m->delegated || bd_before(c->delegates_read, m->lapse_at))
            continue;
        bd_say(c->log, BD_INFO, "%s: lease over, %u tasks lost", m->id, m->nrefs);
        m->lapsed_session = m->session;
        m->fenced = false;
        bd_machine_lapse(c, m);
        m->lapse_at = bd_add(c->now, bd_secs(1.0)); /* plans that stayed, if any */
    }
}

static void late_launches(struct bd_core *c)
{
    for (uint32_t i = 0; i < c->nmachines && !c->want_token_raise; i++) {
        struct bd_machine *m = c->by_index[i];
        if (!m->late_token || m->late_token < c->term || m->gone ||
            bd_between(m->do_since, c->now) < TOKEN_RAISE_AFTER_S ||
            bd_between(m->heard, c->now) > 2 * bd_to_secs(c->settings->report))
            continue;
        for (uint32_t k = 0; k < m->nrefs; k++)
            if (m->refs[k].job->tasks[m->refs[k].task].flags & BD_F_DO)
                c->want_token_raise = bd_between(c->last_token_raise, c->now) > TOKEN_RAISE_EVERY_S;
    }
}

static void forgets_due(struct bd_core *c)
{
    if (c->withheld && (bd_between(c->withheld_at, c->now) > FORGET_RAISE_S ||
                        (c->withheld > WITHHELD_MOST &&
                         bd_between(c->last_token_raise, c->now) > TOKEN_RAISE_EVERY_S)))
        c->want_token_raise = true;
}

static void tokens(struct bd_core *c)
{
    double rate = c->limits.write_rps * WRITE_SHARE;
    bd_limits_tick(c);
    c->write_tokens += rate * bd_between(c->token_at, c->now);
    if (c->write_tokens > rate)
        c->write_tokens = rate;
    c->token_at = c->now;
}

/* A round looks at each machine for each waiting job: with many of both, rounds are rarer, so that
 * they leave most of the processor to everything else. */
static double round_s(const struct bd_core *c)
{
    double jobs = 0;
    for (const struct bd_job *j = c->jobs; j; j = j->hh.next)
        jobs += j->state == BD_LIVE && j->nwait > 0 && !bd_job_waits(j);
    double s =
        c->settings->cpu > 0 ? jobs * c->nmachines * REFRESH_S / c->settings->cpu / ROUND_SHARE : 0;
    return s < ROUND_S ? ROUND_S : s > ROUND_MOST_S ? ROUND_MOST_S : s;
}

static void round_now(struct bd_core *c)
{
    if (c->commit || bd_before(c->now, c->next_round) || c->write_tokens < 2)
        return;
    if (!c->round_wanted && !c->want_token_raise && c->nderived == 0 &&
        bd_before(c->now, c->next_gc))
        return;
    c->round_wanted = false;
    c->next_round = bd_add(c->now, bd_secs(round_s(c)));
    c->commit = calloc(1, sizeof *c->commit);
    if (!c->commit)
        abort();
    if (!c->want_token_raise)
        bd_round_place(c);
    bd_round_commit(c);
}

void bd_core_tick(struct bd_core *c)
{
    if (bd_before(c->next_evict, c->now)) {
        c->next_evict = bd_add(c->now, bd_secs(EVICT_S));
        bd_core_evict(c);
    }
    if (!c->barrier_out && c->waiting) {
        c->asked = c->waiting;
        c->waiting = NULL;
        c->barrier_out = true;
        (void)bd_emit(c, BD_E_BARRIER);
    }
    bd_core_yield(c);
    bd_deps_tick(c);
    bd_forward_tick(c);
    if (c->role != BD_LEADER) {
        bd_delegate_tick(c);
        return;
    }
    if (bd_before(c->next_tick, c->now)) {
        c->next_tick = bd_add(c->now, bd_secs(0.25));
        bd_forward_listen(c);
        lapses(c);
        late_launches(c);
        forgets_due(c);
        bd_find_outbound_cut(c);
        bd_core_give_up_if_blind(c);
    }
    if (!bd_core_valid(c))
        return;
    tokens(c);
    if (c->types_known && bd_before(c->next_fleet, c->now)) {
        c->next_fleet = bd_add(c->now, bd_secs(1.0));
        bd_autoscaler_tick(c);
        c->round_wanted = true; /* pauses run out without an event */
    }
    round_now(c);
}

struct timespec bd_core_next(const struct bd_core *c)
{
    double s = c->forwards || c->delegate.nserved || c->delegate.asking ? 0.2 : 1.0;
    if (c->role == BD_LEADER)
        s = c->round_wanted && !c->commit ? ROUND_S : 0.25;
    return bd_add(c->now, bd_secs(s));
}
