/* The leader's rounds: intents, receipts and done records go into one fenced transaction at a
 * time; recovery reads them back. */
#include "core_internal.h"
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
#define FORGET_RAISE_S 25.0 /* so long results stay on the machines before the token rises */
#define WITHHELD_MOST 4000u /* ... or until reports show so many */

static const char hex[] = "0123456789abcdef";

/* ---- building ---- */

struct build {
    struct bd_txn t;
    size_t ops, most_ops, bytes, conds, most_conds;
};

static bool room_for(const struct build *builder, size_t ops, size_t conds, size_t bytes)
{
    return builder->ops + ops <= builder->most_ops &&
           builder->conds + conds <= builder->most_conds && builder->bytes + bytes <= TXN_BYTES;
}

static void spend(struct build *builder, size_t ops, size_t conds, size_t bytes)
{
    builder->ops += ops;
    builder->conds += conds;
    builder->bytes += bytes;
}

static void if_job(struct build *builder, const struct bd_job *job)
{
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/%s", job->id);
    bd_txn_if(&builder->t, key, job->revision);
    spend(builder, 0, 1, 80);
}

/* How many intent records a transaction may hold beside receipts. */
uint32_t bd_round_parts(const struct bd_core *core)
{
    size_t n = INTENT_BYTES / core->limits.value_bytes, ops = bd_limits_ops(core) / 4;
    n = n < ops ? n : ops;
    return n < 1 ? 1 : n > BD_ROUND_PARTS ? BD_ROUND_PARTS : (uint32_t)n;
}

static bool same_group(const struct bd_intent *a, const struct bd_intent *b)
{
    return a->job == b->job && a->machine == b->machine && a->attempt == b->attempt;
}

/* The value of one record, from the entries that fit it; *n says how many they were. */
static json_t *intent_value(struct bd_core *core, const struct bd_intent *e, uint32_t *n)
{
    json_t *list = json_array();
    double room = BD_VALUE_SHARE * (double)core->limits.value_bytes;
    uint32_t i = 0;
    while (i < *n) {
        struct bd_machine *machine = bd_machine_of(core, e[i].machine);
        size_t head = machine ? bd_group_bytes(e[i].job, machine) : BD_LABEL;
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
                                              machine ? machine->id : "?", tasks));
        i = k;
    }
    *n = i;
    return json_pack("{s:o}", "e", list);
}

static void add_intents(struct bd_core *core, struct build *builder)
{
    struct bd_commit *commit = core->commit;
    struct bd_job *prev = NULL;
    for (uint32_t i = 0; i < commit->nplan; i++) {
        if (commit->plan[i].job != prev)
            if_job(builder, commit->plan[i].job);
        prev = commit->plan[i].job;
    }
    for (uint32_t i = 0; i < commit->nplan && commit->nparts < bd_round_parts(core);) {
        struct bd_part *p = &commit->parts[commit->nparts++];
        p->from = i;
        p->n = commit->nplan - i;
        snprintf(p->key, sizeof p->key, "i/%020llu-%08llu", (unsigned long long)core->base_term,
                 (unsigned long long)++core->round_n);
        bd_txn_set(&builder->t, p->key, intent_value(core, commit->plan + i, &p->n), 0);
        spend(builder, 1, 0, core->limits.value_bytes);
        i += p->n;
    }
}

/* What no record had room for is not started: its time comes in the next round. */
static void unplan_rest(struct bd_core *core)
{
    struct bd_commit *commit = core->commit;
    uint32_t named = commit->nparts ? commit->parts[commit->nparts - 1].from +
                                          commit->parts[commit->nparts - 1].n
                                    : 0;
    for (uint32_t i = named; i < commit->nplan; i++)
        bd_task_free(core, commit->plan[i].job, commit->plan[i].task);
    if (named < commit->nplan)
        bd_say(core->log, BD_ERROR, "%u starts did not fit the intent records",
               commit->nplan - named);
    commit->nplan = named;
}

/* The job's record, on condition that it is the one that we know; `bytes` of it, at most. */
static void add_record(struct build *builder, const struct bd_job *job, json_t *record,
                       size_t bytes)
{
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/%s", job->id);
    if_job(builder, job);
    bd_txn_set(&builder->t, key, record, 0);
    spend(builder, 1, 0, bytes);
}

static bool add_done(struct bd_core *core, struct build *builder, struct bd_job *job)
{
    struct bd_commit *commit = core->commit;
    if (commit->ndone == sizeof commit->done / sizeof *commit->done ||
        !room_for(builder, 1, 1, 300))
        return false;
    struct bd_record r = {.state = BD_DONE, .tasks = job->ntasks, .at = job->at, .end = core->wall};
    snprintf(r.spec.job_class, sizeof r.spec.job_class, "%s", bd_class_name(core, job->job_class));
    add_record(builder, job, bd_wire_record(&r), 200);
    commit->done[commit->ndone++] = job;
    return true;
}

/* The leader makes durable, as the rate allows, what follows from other jobs' cancellations. */
static void add_cancelled(struct bd_core *core, struct build *builder)
{
    struct bd_commit *commit = core->commit;
    struct bd_job *job, *jt;
    const size_t most = 1000; /* of a cancelled record */
    if (core->nderived == 0)
        return;
    HASH_ITER(hh, core->jobs, job, jt)
    {
        if (!job->derived || job->stale || bd_before(core->now, job->backoff_until))
            continue;
        if (commit->ncancelled == sizeof commit->cancelled / sizeof *commit->cancelled ||
            !room_for(builder, 1, 1, most))
            return;
        add_record(builder, job, bd_cancelled_record(job), most);
        commit->cancelled[commit->ncancelled++] = job;
    }
}

static void receipt_bits(const struct bd_job *job, struct bd_receipt *r)
{
    uint32_t from = r->chunk * CHUNK;
    memset(r->bits, 0, sizeof r->bits);
    for (uint32_t i = 0; i < CHUNK && from + i < job->ntasks; i++)
        if (job->tasks[from + i].state == BD_T_DONE)
            r->bits[i / 8] |= (unsigned char)(1u << (i % 8));
}

static json_t *receipt_value(const struct bd_job *job, const struct bd_receipt *r)
{
    char text[CHUNK / 4 + 1];
    uint32_t left = job->ntasks - r->chunk * CHUNK;
    uint32_t n = ((left < CHUNK ? left : CHUNK) + 7) / 8;
    for (uint32_t i = 0; i < n; i++) {
        text[2 * i] = hex[r->bits[i] >> 4];
        text[2 * i + 1] = hex[r->bits[i] & 15];
    }
    text[2 * n] = '\0';
    return json_pack("{s:s}", "b", text);
}

static bool add_receipt(struct bd_core *core, struct build *builder, struct bd_job *job,
                        uint32_t chunk)
{
    struct bd_commit *commit = core->commit;
    uint32_t left = job->ntasks - chunk * CHUNK;
    size_t bytes = (left < CHUNK ? left : CHUNK) / 4 + 16;
    if (!room_for(builder, 1, 1, bytes + 200))
        return false;
    if (bytes > core->limits.value_bytes) /* fits no value any more: its done record says it */
        return true;
    struct bd_receipt *grown = realloc(commit->receipts, (commit->nreceipts + 1) * sizeof *grown);
    if (!grown)
        return false;
    commit->receipts = grown;
    struct bd_receipt *r = &commit->receipts[commit->nreceipts++];
    r->job = job;
    r->chunk = chunk;
    receipt_bits(job, r);
    char key[BD_LABEL];
    snprintf(key, sizeof key, "r/%s/%u", job->id, chunk);
    bd_txn_set(&builder->t, key, receipt_value(job, r), 0);
    spend(builder, 1, 0, bytes + 100);
    return true;
}

static void add_receipts(struct bd_core *core, struct build *builder)
{
    struct bd_job *job, *jt;
    HASH_ITER(hh, core->jobs, job, jt)
    {
        if (!job->dirty || !job->tasks || job->state != BD_LIVE || job->stale ||
            bd_before(core->now, job->backoff_until))
            continue;
        if (job->ndone == job->ntasks) {
            if (!add_done(core, builder, job))
                return;
            continue;
        }
        bool any = false;
        for (uint32_t ch = 0; ch * CHUNK < job->ntasks; ch++) {
            if (!(job->dirty_chunks >> ch & 1))
                continue;
            if (!any)
                if_job(builder, job);
            any = true;
            if (!add_receipt(core, builder, job, ch))
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
        const struct bd_task *task = &e->job->tasks[e->task];
        if (task->attempt == e->attempt && task->machine == e->machine)
            return true;
    }
    return false;
}

static void drop_key(struct bd_core *core, struct build *builder, const char *key)
{
    struct bd_commit *commit = core->commit;
    bd_txn_drop(&builder->t, key);
    spend(builder, 1, 0, 80);
    snprintf(commit->dropped[commit->ndropped++], BD_LABEL, "%s", key);
}

static bool can_drop(const struct bd_core *core, const struct build *builder)
{
    return core->commit->ndropped < sizeof core->commit->dropped / BD_LABEL &&
           room_for(builder, 1, 0, 80);
}

/* Records that nothing needs any more. */
static void add_drops(struct bd_core *core, struct build *builder)
{
    struct bd_job *job, *jt;
    char key[BD_LABEL];
    if (*core->stale_delegate && can_drop(core, builder))
        drop_key(core, builder, core->stale_delegate);
    core->stale_delegate[0] = '\0';
    for (uint32_t i = 0; i < core->nrounds && can_drop(core, builder); i++)
        if (!round_live(&core->rounds[i]))
            drop_key(core, builder, core->rounds[i].key);
    HASH_ITER(hh, core->jobs, job, jt)
    {
        if (job->state == BD_CANCELLED && job->tasks && job->nlive == 0)
            bd_job_unlead(job); /* nothing of it is anywhere any more */
        if (job->state == BD_LIVE || !job->receipt_chunks)
            continue;
        for (uint32_t ch = 0; ch < 64 && can_drop(core, builder); ch++) {
            if (job->receipt_chunks >> ch & 1) {
                snprintf(key, sizeof key, "r/%s/%u", job->id, ch);
                drop_key(core, builder, key);
                job->receipt_chunks &= ~(1ull << ch);
            }
        }
    }
}

static void add_token_raise(struct bd_core *core, struct build *builder)
{
    if (!core->want_token_raise)
        return;
    core->want_token_raise = false;
    core->commit->raises_token = true;
    json_t *away = bd_dismissed(core);
    bd_txn_set(&builder->t, "leader",
               json_pack("{s:s,s:s,s:o}", "node", core->settings->node, "nonce", core->nonce,
                         "away", away),
               core->grant);
    spend(builder, 1, 0, 200);
}

void bd_round_commit(struct bd_core *core)
{
    struct bd_commit *commit = core->commit;
    struct build b = {.most_ops = bd_limits_ops(core) - 1,
                      .most_conds = 4 * core->limits.txn_ops - 2};
    if (!bd_txn_start(&b.t))
        abort();
    bd_txn_if(&b.t, "leader", core->term);
    bd_txn_if(&b.t, "w", core->sequence_revision);
    add_token_raise(core, &b);
    add_intents(core, &b);
    unplan_rest(core);
    add_receipts(core, &b);
    add_cancelled(core, &b);
    if (bd_before(core->next_gc, core->now)) {
        add_drops(core, &b);
        /* thousands of old intents would slow the next takeover */
        core->next_gc = bd_add(core->now, bd_secs(can_drop(core, &b) ? GC_S : GC_AGAIN_S));
    }
    if (b.ops == 0) {
        free(bd_txn_end(&b.t));
        bd_commit_free(commit);
        core->commit = NULL;
        return;
    }
    core->sequence++;
    bd_txn_set(
        &b.t, "w",
        json_pack("{s:I,s:I}", "t", (json_int_t)core->base_term, "n", (json_int_t)core->sequence),
        0);
    core->write_tokens -= (double)(b.ops + 1);
    struct bd_effect *effect = bd_emit(core, BD_E_COMMIT);
    effect->body = bd_txn_end(&b.t);
    effect->token = core->sequence;
    snprintf(effect->key, sizeof effect->key, "%llu", (unsigned long long)core->base_term);
}

/* ---- outcome ---- */

static void keep_round(struct bd_core *core, const char *key, struct bd_intent *e, uint32_t n)
{
    if (core->nrounds == core->cap_rounds) {
        uint32_t cap = core->cap_rounds ? core->cap_rounds * 2 : 64;
        struct bd_round *r = realloc(core->rounds, cap * sizeof *r);
        if (!r)
            abort();
        core->rounds = r;
        core->cap_rounds = cap;
    }
    struct bd_round *r = &core->rounds[core->nrounds++];
    memset(r, 0, sizeof *r);
    snprintf(r->key, sizeof r->key, "%s", key);
    r->e = e;
    r->n = n;
}

static void launch_planned(struct bd_core *core, struct bd_commit *commit)
{
    for (uint32_t i = 0; i < commit->nplan; i++) {
        struct bd_intent *e = &commit->plan[i];
        struct bd_task *task = e->job->tasks ? &e->job->tasks[e->task] : NULL;
        if (!task || task->state != BD_T_PLAN || task->attempt != e->attempt)
            continue;
        struct bd_machine *machine = bd_machine_of(core, task->machine);
        if (e->job->state != BD_LIVE || bd_cancel_heard(core, e->job) || !machine ||
            machine->gone || machine->returning) {
            bd_task_free(core, e->job, e->task);
            continue;
        }
        bd_task_set(core, e->job, e->task, BD_T_LAUNCH);
        if (!e->job->started)
            bd_metrics_time(core->metrics, BD_TIMING_START, core->wall - e->job->ready);
        e->job->started = true;
        bd_remember_image(core, machine, &e->job->spec, false);
    }
    for (uint32_t i = 0; i < commit->nplan; i++) {
        struct bd_machine *machine = bd_machine_of(core, commit->plan[i].machine);
        if (machine)
            bd_orders_send(core, machine);
    }
    for (uint32_t i = 0; i < commit->nparts; i++) {
        const struct bd_part *p = &commit->parts[i];
        struct bd_intent *e = malloc((p->n + 1) * sizeof *e);
        if (!e)
            abort();
        memcpy(e, commit->plan + p->from, p->n * sizeof *e);
        keep_round(core, p->key, e, p->n);
    }
}

static void receipt_kept(struct bd_receipt *r)
{
    struct bd_job *job = r->job;
    if (!job->tasks)
        return;
    job->receipt_chunks |= 1ull << r->chunk;
    uint32_t from = r->chunk * CHUNK;
    bool all = true;
    for (uint32_t i = 0; i < CHUNK && from + i < job->ntasks; i++) {
        struct bd_task *task = &job->tasks[from + i];
        if (r->bits[i / 8] >> (i % 8) & 1)
            task->flags |= BD_F_RECEIPT;
        else if (task->state == BD_T_DONE)
            all = false;
    }
    if (all)
        job->dirty_chunks &= ~(1u << r->chunk);
    job->dirty = job->dirty_chunks != 0;
}

static void forget_rounds(struct bd_core *core, const struct bd_commit *commit)
{
    for (uint32_t d = 0; d < commit->ndropped; d++) {
        for (uint32_t i = 0; i < core->nrounds; i++) {
            if (strcmp(core->rounds[i].key, commit->dropped[d]) == 0) {
                free(core->rounds[i].e);
                core->rounds[i] = core->rounds[--core->nrounds];
                break;
            }
        }
    }
}

static void done_kept(struct bd_core *core, struct bd_job *job, uint64_t store_revision)
{
    double age = core->wall - job->at;
    bd_say(
        core->log, BD_INFO,
        "%s is done: %u tasks, rank %d, guess %.0f s; last placed after %.1f s, last begun after "
        "%.1f s, done after %.1f s, %u places lost",
        job->id, job->ntasks, (int)job->spec.rank, job->spec.estimate,
        age - bd_between(job->last_placed, core->now), age - bd_between(job->last_begun, core->now),
        age, job->restarts);
    job->revision = store_revision;
    job->state = BD_DONE;
    job->end = core->wall;
    bd_job_unlead(job);
    json_decref(job->record_spec);
    job->record_spec = NULL;
    bd_deps_settled(core, job); /* now, and not before, what waits for it may start */
}

static void kept(struct bd_core *core, struct bd_commit *commit, uint64_t store_revision)
{
    core->sequence_revision = store_revision;
    if (commit->raises_token) {
        core->term = store_revision;
        core->last_token_raise = core->now;
        core->fenced_attempt = (core->base_term << 20) + core->counter;
        core->withheld = 0;
    }
    for (uint32_t i = 0; i < commit->nreceipts; i++)
        receipt_kept(&commit->receipts[i]);
    forget_rounds(core, commit);
    if (commit->nplan)
        launch_planned(core, commit);
    for (uint32_t i = 0; i < commit->ndone; i++)
        done_kept(core, commit->done[i], store_revision);
    for (uint32_t i = 0; i < commit->ncancelled; i++) {
        commit->cancelled[i]->revision = store_revision;
        bd_deps_written(core, commit->cancelled[i]);
    }
}

static void refused(struct bd_core *core, struct bd_commit *commit, json_t *failed)
{
    json_t *v;
    size_t i;
    json_array_foreach(failed, i, v)
    {
        const char *key = json_string_value(v);
        struct bd_job *job = key && strncmp(key, "j/", 2) == 0 ? bd_job_find(core, key + 2) : NULL;
        if (job)
            job->stale = true; /* the change itself comes with the next refresh */
    }
    for (uint32_t n = 0; n < commit->nplan; n++) {
        struct bd_intent *e = &commit->plan[n];
        if (e->job->tasks && e->job->tasks[e->task].state == BD_T_PLAN &&
            e->job->tasks[e->task].attempt == e->attempt)
            bd_task_free(core, e->job, e->task);
    }
    core->want_token_raise = core->want_token_raise || commit->raises_token;
    /* the same number is never used for another content */
}

/* Called malformed: nothing was applied. All of it is decided anew, in smaller pieces. */
static void too_large(struct bd_core *core, struct bd_commit *commit)
{
    if (bd_limits_refused(core, "a round's transaction"))
        return;
    for (uint32_t i = 0; i < commit->nplan; i++)
        bd_limits_back_off(core, commit->plan[i].job);
    for (uint32_t i = 0; i < commit->nreceipts; i++)
        bd_limits_back_off(core, commit->receipts[i].job);
    for (uint32_t i = 0; i < commit->ndone; i++)
        bd_limits_back_off(core, commit->done[i]);
    for (uint32_t i = 0; i < commit->ncancelled; i++)
        bd_limits_back_off(core, commit->cancelled[i]);
}

void bd_core_committed(struct bd_core *core, int outcome, uint64_t store_revision, json_t *failed)
{
    struct bd_commit *commit = core->commit;
    if (!commit || core->role != BD_LEADER)
        return;
    if (outcome < 0) {
        bd_core_lost(core);
        return;
    }
    core->commit = NULL;
    if (outcome == 2)
        too_large(core, commit);
    if (outcome == 1)
        kept(core, commit, store_revision);
    else
        refused(core, commit, failed);
    bd_commit_free(commit);
    core->round_wanted = true;
}

/* ---- recovery ---- */

static void load_receipt(struct bd_core *core, const char *key, json_t *value)
{
    char id[BD_ID];
    uint32_t chunk = 0;
    if (strncmp(key, "r/", 2) != 0 || !bd_wire_task_name(key + 2, id, &chunk))
        return;
    struct bd_job *job = bd_job_find(core, id);
    const char *text = json_string_value(json_object_get(value, "b"));
    if (!job || !text || chunk >= 64)
        return;
    job->receipt_chunks |= 1ull << chunk;
    if (!job->tasks)
        return;
    for (uint32_t i = 0; text[i]; i++) {
        const char *p = strchr(hex, text[i]);
        for (uint32_t bit = 0; p && bit < 4; bit++) {
            uint32_t task = chunk * CHUNK + (i / 2) * 8 + (i % 2 ? bit : bit + 4);
            if (!((p - hex) >> bit & 1) || task >= job->ntasks)
                continue;
            if (job->tasks[task].state != BD_T_DONE)
                bd_task_set(core, job, task, BD_T_DONE);
            job->tasks[task].flags |= BD_F_RECEIPT;
        }
    }
    if (job->ndone == job->ntasks)
        job->dirty = true;
}

static void load_group(struct bd_core *core, json_t *g, struct bd_intent **e, uint32_t *n)
{
    struct bd_job *job = bd_job_find(core, json_string_value(json_array_get(g, 0))
                                               ? json_string_value(json_array_get(g, 0))
                                               : "");
    uint64_t attempt = (uint64_t)json_integer_value(json_array_get(g, 1));
    const char *machine = json_string_value(json_array_get(g, 2));
    json_t *tasks = json_array_get(g, 3), *v;
    size_t i;
    if (!job || !job->tasks || !machine)
        return;
    struct bd_intent *grown = realloc(*e, (*n + json_array_size(tasks) + 1) * sizeof *grown);
    if (!grown)
        abort();
    *e = grown;
    struct bd_machine *m = bd_machine_get(core, machine);
    json_array_foreach(tasks, i, v)
    {
        uint32_t task = (uint32_t)json_integer_value(v);
        if (task >= job->ntasks)
            continue;
        (*e)[(*n)++] = (struct bd_intent){job, task, m->index, attempt};
        if (attempt > job->tasks[task].attempt)
            job->tasks[task].attempt = attempt;
    }
}

static void load_intents(struct bd_core *core, json_t *pairs)
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
            load_group(core, g, &e, &n);
        }
        keep_round(core, ch.key, e, n);
    }
}

/* Only the newest intent of a task counts: it was written after all earlier ones were excluded. */
static void classify(struct bd_core *core)
{
    uint32_t unknown = 0;
    for (uint32_t r = 0; r < core->nrounds; r++) {
        for (uint32_t k = 0; k < core->rounds[r].n; k++) {
            struct bd_intent *e = &core->rounds[r].e[k];
            struct bd_task *task = &e->job->tasks[e->task];
            struct bd_machine *machine = bd_machine_of(core, e->machine);
            if (task->state != BD_T_WAIT || task->attempt != e->attempt || !machine)
                continue;
            bd_task_assign(core, e->job, e->task, machine, e->attempt, BD_T_UNKNOWN);
            task->flags |= BD_F_SENT;
            if (e->job->state != BD_LIVE)
                task->flags |= BD_F_STOP | BD_F_FORCE;
            unknown++;
        }
    }
    bd_say(core->log, BD_INFO, "term %llu: %u intent records, %u tasks to be accounted for",
           (unsigned long long)core->base_term, core->nrounds, unknown);
}

void bd_core_gained(struct bd_core *core, const struct bd_gain *g)
{
    struct bd_job *job, *jt;
    struct bd_change ch;
    json_t *v;
    size_t i;
    core->role = BD_LEADER;
    core->base_term = core->term = g->term;
    core->grant = g->grant;
    core->counter = 0;
    core->fenced_attempt = g->term << 20; /* earlier terms' launches carried lower tokens */
    core->withheld = 0;
    core->round_n = 0;
    core->request_n = 0;
    core->sequence_revision = g->sequence_revision;
    core->sequence = g->sequence;
    core->listed_once = false;
    snprintf(core->nonce, sizeof core->nonce, "%s", g->nonce);
    bd_core_leader_is(core, core->settings->node, g->term, g->renewed, false);
    bd_delegate_end(core);
    core->delegates_read = core->now;
    /* an earlier leader in its grace, or a delegate of one, may have answered until then */
    double rest = bd_grace_s(core->settings) - bd_to_secs(core->settings->leader_ttl);
    rest = rest > DELEGATE_FRESH_S ? rest : DELEGATE_FRESH_S;
    core->others_lapse = bd_lease_end(core, bd_add(core->now, bd_secs(rest)));
    HASH_ITER(hh, core->jobs, job, jt)
    {
        job->receipt_chunks = 0;
        /* cancelled jobs too: what still runs of them counts and must be stopped */
        if (job->state != BD_DONE && !bd_job_lead(core, job))
            bd_say(core->log, BD_ERROR, "%s: no memory for its tasks", job->id);
    }
    json_array_foreach(g->receipts, i, v)
    {
        if (bd_wire_change(v, &ch))
            load_receipt(core, ch.key, ch.value);
    }
    load_intents(core, g->intents);
    classify(core);
    core->valid_until = core->renewed = g->renewed;
    bd_core_renewed(core, g->grant, g->renewed);
    core->round_wanted = true;
}

/* ---- time ---- */

static void lapses(struct bd_core *core)
{
    struct timespec until[BD_MAX_ZONES];
    bd_standby_zones(core, until);
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (machine->gone || machine->nrefs == 0)
            continue;
        struct timespec answered = bd_standby_until(core, machine, until);
        if (!bd_is_zero(answered)) /* a controller of its cut zone may have answered it */
            machine->lapse_at = bd_max(machine->lapse_at, bd_lease_end(core, answered));
        if (bd_before(core->now, machine->lapse_at))
            continue;
        /* a delegate may have answered it: a refresh begun after the lease's end must not show it
         */
        if (machine->delegated || bd_before(core->delegates_read, machine->lapse_at))
            continue;
        bd_say(core->log, BD_INFO, "%s: lease over, %u tasks lost", machine->id, machine->nrefs);
        machine->lapsed_session = machine->session;
        machine->fenced = false;
        bd_machine_lapse(core, machine);
        machine->lapse_at = bd_add(core->now, bd_secs(1.0)); /* plans that stayed, if any */
    }
}

static void late_launches(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->nmachines && !core->want_token_raise; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (!machine->late_token || machine->late_token < core->term || machine->gone ||
            bd_between(machine->do_since, core->now) < TOKEN_RAISE_AFTER_S ||
            bd_between(machine->heard, core->now) > 2 * bd_to_secs(core->settings->report))
            continue;
        for (uint32_t k = 0; k < machine->nrefs; k++)
            if (machine->refs[k].job->tasks[machine->refs[k].task].flags & BD_F_DO)
                core->want_token_raise =
                    bd_between(core->last_token_raise, core->now) > TOKEN_RAISE_EVERY_S;
    }
}

static void forgets_due(struct bd_core *core)
{
    if (core->withheld && (bd_between(core->withheld_at, core->now) > FORGET_RAISE_S ||
                           (core->withheld > WITHHELD_MOST &&
                            bd_between(core->last_token_raise, core->now) > TOKEN_RAISE_EVERY_S)))
        core->want_token_raise = true;
}

static void tokens(struct bd_core *core)
{
    double rate = core->limits.write_rps * WRITE_SHARE;
    bd_limits_tick(core);
    core->write_tokens += rate * bd_between(core->token_at, core->now);
    if (core->write_tokens > rate)
        core->write_tokens = rate;
    core->token_at = core->now;
}

/* A round looks at each machine for each waiting job: with many of both, rounds are rarer, so that
 * they leave most of the processor to everything else. */
static double round_s(const struct bd_core *core)
{
    double jobs = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        jobs += job->state == BD_LIVE && job->nwait > 0 && !bd_job_waits(job);
    double s = core->settings->cpu > 0
                   ? jobs * core->nmachines * REFRESH_S / core->settings->cpu / ROUND_SHARE
                   : 0;
    return s < ROUND_S ? ROUND_S : s > ROUND_MOST_S ? ROUND_MOST_S : s;
}

static void round_now(struct bd_core *core)
{
    if (core->commit || bd_before(core->now, core->next_round) || core->write_tokens < 2)
        return;
    if (!core->round_wanted && !core->want_token_raise && core->nderived == 0 &&
        bd_before(core->now, core->next_gc))
        return;
    core->round_wanted = false;
    core->next_round = bd_add(core->now, bd_secs(round_s(core)));
    core->commit = calloc(1, sizeof *core->commit);
    if (!core->commit)
        abort();
    if (!core->want_token_raise)
        bd_round_place(core);
    bd_round_commit(core);
}

void bd_core_tick(struct bd_core *core)
{
    if (bd_before(core->next_evict, core->now)) {
        core->next_evict = bd_add(core->now, bd_secs(EVICT_S));
        bd_core_evict(core);
    }
    if (!core->barrier_out && core->waiting) {
        core->asked = core->waiting;
        core->waiting = NULL;
        core->barrier_out = true;
        (void)bd_emit(core, BD_E_BARRIER);
    }
    bd_core_yield(core);
    bd_deps_tick(core);
    bd_forward_tick(core);
    if (core->role != BD_LEADER) {
        bd_delegate_tick(core);
        return;
    }
    if (bd_before(core->next_tick, core->now)) {
        core->next_tick = bd_add(core->now, bd_secs(0.25));
        bd_forward_listen(core);
        lapses(core);
        late_launches(core);
        forgets_due(core);
        bd_find_outbound_cut(core);
        bd_core_give_up_if_blind(core);
    }
    if (!bd_core_valid(core))
        return;
    tokens(core);
    if (core->types_known && bd_before(core->next_fleet, core->now)) {
        core->next_fleet = bd_add(core->now, bd_secs(1.0));
        bd_autoscaler_tick(core);
        core->round_wanted = true; /* pauses run out without an event */
    }
    round_now(core);
}

struct timespec bd_core_next(const struct bd_core *core)
{
    double s = core->forwards || core->delegate.nserved || core->delegate.asking ? 0.2 : 1.0;
    if (core->role == BD_LEADER)
        s = core->round_wanted && !core->commit ? ROUND_S : 0.25;
    return bd_add(core->now, bd_secs(s));
}
