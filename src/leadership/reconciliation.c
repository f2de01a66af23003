/* A new leader: earlier terms' receipts and intents, and what they say of each task. Part of the
 * pure core. */
#include "base/metrics.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "leadership/commit.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char hex[] = BD_HEX_DIGITS;

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
            uint32_t task = chunk * BD_RECEIPT_CHUNK_TASKS + (i / 2) * 8 + (i % 2 ? bit : bit + 4);
            if (!((p - hex) >> bit & 1) || task >= job->ntasks)
                continue;
            if (job->tasks[task].state != BD_TASK_DONE)
                bd_task_set(core, job, task, BD_TASK_DONE);
            job->tasks[task].flags |= BD_TASK_FLAG_RECEIPT_COMMITTED;
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
        bd_intent_record_keep(core, ch.key, e, n);
    }
}

/* Only the newest intent of a task counts: it was written after all earlier ones were excluded. */
static void classify(struct bd_core *core)
{
    uint32_t unknown = 0;
    for (uint32_t r = 0; r < core->lead.nintent_records; r++) {
        char intent[BD_LABEL + 8];
        snprintf(intent, sizeof intent, "intent=%s", core->lead.intent_records[r].key);
        for (uint32_t k = 0; k < core->lead.intent_records[r].n; k++) {
            struct bd_intent *e = &core->lead.intent_records[r].e[k];
            struct bd_task *task = &e->job->tasks[e->task];
            struct bd_machine *machine = bd_machine_of(core, e->machine);
            if (task->state != BD_TASK_PENDING || task->attempt != e->attempt || !machine)
                continue;
            bd_task_assign(core, e->job, e->task, machine, e->attempt, BD_TASK_UNKNOWN);
            task->flags |= BD_TASK_FLAG_LAUNCH_SENT;
            bd_decision_log_task(core, "task_unknown", e->job, e->task, e->attempt, machine,
                                 intent);
            if (e->job->state != BD_JOB_ACTIVE)
                task->flags |= BD_TASK_FLAG_STOP_REQUESTED | BD_TASK_FLAG_FORCED_STOP;
            unknown++;
        }
    }
    bd_log_write(core->log, BD_LOG_INFO, "term %llu: %u intent records, %u tasks to reconcile",
                 (unsigned long long)core->lead.base_term, core->lead.nintent_records, unknown);
}

void bd_leadership_begin_term(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    core->role = BD_LEADER;
    core->lead.base_term = core->lead.term = acquisition->term;
    core->lead.grant = acquisition->grant;
    core->lead.counter = 0;
    /* earlier terms' launches carried lower tokens */
    core->lead.fenced_attempt = acquisition->term << 20;
    core->lead.withheld = 0;
    core->lead.cycle_number = 0;
    core->lead.request_n = 0;
    core->lead.sequence_revision = acquisition->sequence_revision;
    core->lead.sequence = acquisition->sequence;
    core->lead.inventory_read = false;
    snprintf(core->lead.nonce, sizeof core->lead.nonce, "%s", acquisition->nonce);
}

/* An earlier leader within its renewal window, or a delegate of one, may have answered until then.
 */
static void bound_earlier_leases(struct bd_core *core)
{
    double rest = bd_renewal_window_s(core->settings) - bd_to_secs(core->settings->leader_ttl);
    rest = rest > BD_DELEGATE_FRESH_S ? rest : BD_DELEGATE_FRESH_S;
    core->lead.earlier_leases_expire_at = bd_lease_expiry(core, bd_add(core->now, bd_secs(rest)));
}

static void start_tracking_jobs(struct bd_core *core)
{
    struct bd_job *job, *next;
    HASH_ITER(hh, core->jobs, job, next)
    {
        job->receipt_chunks = 0;
        /* cancelled jobs too: what still runs of them counts and must be stopped */
        if (job->state != BD_JOB_DONE && !bd_job_start_tracking(core, job))
            bd_log_write(core->log, BD_LOG_ERROR, "%s: no memory for its tasks", job->id);
    }
}

static void load_receipts(struct bd_core *core, json_t *receipts)
{
    struct bd_change change;
    json_t *v;
    size_t i;
    json_array_foreach(receipts, i, v)
    {
        if (bd_wire_change(v, &change))
            load_receipt(core, change.key, change.value);
    }
}

static void log_term(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    bd_decision_log_term(
        core, "term_acquired",
        "term=%llu grant=%llu replica=%llu replica_age_ms=%.0f w=%llu receipts=%zu "
        "intents=%zu earlier_leases_s=%.1f",
        (unsigned long long)acquisition->term, (unsigned long long)acquisition->grant,
        (unsigned long long)core->replica.store_revision,
        1000 * bd_between(core->replica.refreshed_at, core->now),
        (unsigned long long)acquisition->sequence_revision, json_array_size(acquisition->receipts),
        json_array_size(acquisition->intents),
        bd_between(core->now, core->lead.earlier_leases_expire_at));
}

void bd_leadership_reconcile(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    core->delegates.read_at = core->now;
    bound_earlier_leases(core);
    start_tracking_jobs(core);
    load_receipts(core, acquisition->receipts);
    load_intents(core, acquisition->intents);
    classify(core);
    log_term(core, acquisition);
}

void bd_leadership_start_serving(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    core->lead.valid_until = core->lead.renewed = acquisition->renewed;
    bd_leadership_renewed(core, acquisition->grant, acquisition->renewed);
    core->lead.cycle_wanted = true;
}
