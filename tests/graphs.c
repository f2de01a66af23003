/* Random graphs of jobs that need others, against a plain model: two controllers' cores over a
 * model of the store and one machine, with submissions, cancellations, polls, lost answers
 * and crashes of either controller. Fixed seeds. Asserted: no task starts before all that its job
 * needs are done by the records; a job is called cancelled exactly when it or one before it was
 * cancelled, on each node, and never called pending after that; every job that is not cancelled
 * ends; every record of a cancelled one says so in the end.
 *
 *   graphs SEEDS */
#include "graphs.h"
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "numbers.h"
#include "test_settings.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_workers.h"
#include "workers/workers.h"
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEPS 900

unsigned graph_dice(struct graph_run *run, unsigned n)
{
    return (unsigned)gsl_rng_uniform_int(run->rng, n);
}

static void refresh(struct graph_run *run, int node, bool ok);

static void direct_command(struct graph_run *run, int node, struct bd_effect *effect)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task *tasks = calloc(TASKS, sizeof *tasks);
    bool heard = graph_dice(run, 12) != 0, told = heard && graph_dice(run, 12) != 0;
    if (heard)
        graph_execute_commands(run, effect->body);
    if (told)
        graph_fill_heartbeat(run, &heartbeat, tasks);
    bd_worker_direct_command_completed(run->cores[node], effect->machine, effect->fencing_token,
                                       effect->has_launches, told ? 200 : 0,
                                       told ? &heartbeat : NULL);
    free(tasks);
}

static void user_commit(struct graph_run *run, int node, struct bd_effect *effect)
{
    json_t *failed = NULL;
    long status = graph_dice(run, 15) == 0 ? 0 : 1; /* 0: never came there */
    if (status) {
        char *copy = strdup(effect->body), *rest = NULL;
        status = 200;
        for (char *line = strtok_r(copy, "\n", &rest); line && status == 200;
             line = strtok_r(NULL, "\n", &rest)) {
            json_decref(failed);
            status = graph_apply(run, line, &failed);
        }
        free(copy);
        if (graph_dice(run, 15) == 0) /* done, but the answer is lost */
            status = 0;
    }
    json_decref(failed);
    bd_user_txn_completed(run->cores[node], effect->request, effect->key, effect->body,
                          effect->purpose, status, run->store_revision);
}

static void perform_effects(struct graph_run *run, int node)
{
    struct bd_effect *effect = bd_effects_take(run->cores[node]);
    while (effect) {
        struct bd_effect *next = effect->next;
        if (effect->kind == BD_EFFECT_REPLY && effect->request)
            graph_check_answer(run, effect->request, effect->status, effect->body);
        else if (effect->kind == BD_EFFECT_USER_TXN)
            user_commit(run, node, effect);
        else if (effect->kind == BD_EFFECT_DIRECT_COMMAND)
            direct_command(run, node, effect);
        else if (effect->kind == BD_EFFECT_READ_BARRIER)
            refresh(run, node, graph_dice(run, 10) != 0);
        else if (effect->kind == BD_EFFECT_REPLY && effect->status == 200)
            graph_execute_commands(run, effect->body);
        if (effect->kind == BD_EFFECT_LEADER_TXN) {
            run->commit[node] = effect;
        } else {
            bd_effect_free(effect);
        }
        effect = next ? next : bd_effects_take(run->cores[node]);
    }
}

/* What changed since the node's last refresh; sometimes the refresh fails. */
static void refresh(struct graph_run *run, int node, bool ok)
{
    uint64_t after = run->seen[node];
    for (int i = 0; ok && i < run->nkeys; i++) {
        struct bd_change change = {run->keys[i].name, run->keys[i].value, run->keys[i].revision};
        if (change.revision > after && strncmp(change.key, "j/", 2) == 0)
            bd_replica_apply(run->cores[node], &change);
    }
    if (ok)
        run->seen[node] = run->store_revision;
    bd_replica_refreshed(run->cores[node], after, run->store_revision, run->cores[node]->now,
                         run->cores[node]->replica.barrier_in_flight, ok);
}

static void set_clocks(struct graph_run *run)
{
    for (int node = 0; node < NODES; node++)
        if (run->cores[node])
            bd_core_set_clock(run->cores[node], bd_secs(100 + run->now), 1000 + run->now);
}

static void complete_commit(struct graph_run *run)
{
    int node = run->leader;
    struct bd_effect *effect = run->commit[node];
    json_t *failed = NULL;
    if (!effect)
        return;
    run->commit[node] = NULL;
    long status = graph_apply(run, effect->body, &failed);
    bd_core_leader_txn_completed(run->cores[node],
                                 status == 200 ? BD_TXN_COMMITTED : BD_TXN_CONFLICT,
                                 run->store_revision, failed);
    json_decref(failed);
    bd_effect_free(effect);
}

/* A new process: it reads the records in the order of a list, in any order that keys may have. */
static void start_node(struct graph_run *run, int node)
{
    static const double cpus = 10000;
    struct bd_machine_type_text type = {
        .cpus = cpus, .mem = cpus, .price = 1, .spot_price = 1, .boot = 5};
    snprintf(type.label, sizeof type.label, "big");
    snprintf(type.zones[type.nzones++], BD_LABEL_BYTES, "a");
    type.fetch = type.cache_gb = 100;
    run->cores[node] = bd_core_new(&run->settings[node], &run->log);
    if (!run->cores[node])
        abort();
    set_clocks(run);
    bd_inventory_types_received(run->cores[node], &type, 1);
    unsigned from = run->nkeys ? graph_dice(run, (unsigned)run->nkeys) : 0;
    for (int i = 0; i < run->nkeys; i++) {
        struct graph_key *key = &run->keys[((unsigned)i + from) % (unsigned)run->nkeys];
        struct bd_change change = {key->name, key->value, key->revision};
        if (strncmp(change.key, "j/", 2) == 0)
            bd_replica_apply(run->cores[node], &change);
    }
    run->seen[node] = run->store_revision;
    bd_replica_listed(run->cores[node], run->store_revision, run->cores[node]->now);
}

static json_t *list_keys(struct graph_run *run, const char *prefix)
{
    json_t *pairs = json_array();
    for (int i = 0; i < run->nkeys; i++)
        if (strncmp(run->keys[i].name, prefix, strlen(prefix)) == 0)
            json_array_append_new(pairs, json_pack("{s:s,s:O,s:I}", "k", run->keys[i].name, "value",
                                                   run->keys[i].value, "mark",
                                                   (json_int_t)run->keys[i].revision));
    return pairs;
}

static void acquire_leadership(struct graph_run *run, int node)
{
    json_t *value = json_pack("{s:i}", "node", node);
    struct graph_key *sequence = graph_find_key(run, "w");
    run->leader = node;
    run->store_revision++;
    graph_set_key(run, "leader", value);
    json_decref(value);
    struct bd_acquisition acquisition = {.term = run->store_revision,
                                         .grant = 7,
                                         .nonce = "n",
                                         .renewal_sent_at = run->cores[node]->now};
    acquisition.commit_sequence_revision = sequence ? sequence->revision : 0;
    acquisition.receipts = list_keys(run, "r/");
    acquisition.intents = list_keys(run, "i/");
    refresh(run, node, true); /* the replica is at least as new as the term */
    bd_core_leadership_acquired(run->cores[node], &acquisition);
    json_decref(acquisition.receipts);
    json_decref(acquisition.intents);
}

static void stop_node(struct graph_run *run, int node)
{
    if (run->commit[node])
        bd_effect_free(run->commit[node]);
    run->commit[node] = NULL;
    bd_core_free(run->cores[node]);
    run->cores[node] = NULL;
}

static void crash(struct graph_run *run, int node)
{
    json_t *failed = NULL;
    if (run->commit[node] && graph_dice(run, 2)) { /* it was applied all the same */
        (void)graph_apply(run, run->commit[node]->body, &failed);
        json_decref(failed);
    }
    stop_node(run, node);
    start_node(run, node);
    if (node == run->leader)
        acquire_leadership(run, (int)graph_dice(run, NODES));
}

static struct graph_request *new_request(enum graph_question question, int job)
{
    struct graph_request *request = calloc(1, sizeof *request);
    request->question = question;
    request->job = job;
    return request;
}

/* Chains, and wide ones: half of the parents are near. A second try keeps the first's. */
static void draw_parents(struct graph_run *run, int number)
{
    struct graph_job *job = &run->jobs[number];
    for (unsigned k = graph_dice(run, PARENTS_MAX + 1); !job->tried && number > 0 && k > 0; k--) {
        int parent = graph_dice(run, 2)
                         ? number - 1 - (int)graph_dice(run, number < 3 ? (unsigned)number : 3)
                         : (int)graph_dice(run, (unsigned)number);
        if (run->jobs[parent].accepted)
            job->parents[job->nparents++] = parent;
    }
    job->tried = true;
}

static void submit(struct graph_run *run, int number)
{
    char body[1024], parents[256] = "", id[32];
    const struct graph_job *job = &run->jobs[number];
    draw_parents(run, number);
    for (int k = 0; k < job->nparents; k++) {
        snprintf(id, sizeof id, "%s\"job-%d\"", k ? "," : "", job->parents[k]);
        strcat(parents, id);
    }
    snprintf(
        body, sizeof body,
        "{\"id\":\"job-%d\",\"kin\":\"k\",\"household\":\"a\",\"shape\":\"%s\",\"rank\":"
        "\"standard\",\"chores\":%d,\"vcpus\":1,\"accelerators\":0,\"memGb\":1,\"seed\":\"i\","
        "\"imageGb\":0,\"breeds\":null,\"glade\":null,\"together\":false,\"scatter\":false,"
        "\"windfall\":false,\"guessS\":1,\"markS\":0,\"stowS\":0,\"dueS\":null,\"awaits\":[%s]}",
        number, number % 3 ? "sweep" : "gang", 1 + number % 3, parents);
    bd_user_submit(run->cores[graph_dice(run, NODES)], new_request(ASK_SUBMIT, number), body,
                   strlen(body));
}

static int draw_job(struct graph_run *run)
{
    int job = (int)graph_dice(run, JOBS);
    return run->jobs[job].accepted ? job : -1;
}

static void user_step(struct graph_run *run, int *next, bool may_cancel)
{
    char id[32];
    int job = draw_job(run), node = (int)graph_dice(run, NODES);
    if (*next < JOBS && graph_dice(run, 3) == 0) {
        submit(run, *next);
        for (int k = 0; k < NODES; k++)
            perform_effects(run, k);
        *next += run->jobs[*next].accepted;
        return;
    }
    if (job < 0)
        return;
    snprintf(id, sizeof id, "job-%d", job);
    if (may_cancel && graph_dice(run, 14) == 0)
        bd_user_cancel(run->cores[node], new_request(ASK_WITHDRAW, job), id);
    else
        bd_user_status(run->cores[node], new_request(ASK_GET, job), id);
}

static void machine_step(struct graph_run *run)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task *tasks = calloc(TASKS, sizeof *tasks);
    graph_end_some_tasks(run, 4);
    graph_fill_heartbeat(run, &heartbeat, tasks);
    bd_worker_heartbeat_received(run->cores[run->leader], NULL, &heartbeat, "{}", 2);
    free(tasks);
}

static void step(struct graph_run *run, int *next, bool has_faults)
{
    run->now += 0.3;
    set_clocks(run);
    bd_leadership_lease_renewed(run->cores[run->leader], 7, run->cores[run->leader]->now);
    user_step(run, next, has_faults);
    machine_step(run);
    for (int n = 0; n < NODES; n++)
        refresh(run, n, graph_dice(run, 8) != 0);
    if (graph_dice(run, 3))
        complete_commit(run);
    for (int n = 0; n < NODES; n++) {
        bd_core_tick(run->cores[n]);
        perform_effects(run, n);
    }
    /* a crash loses what users asked of the process: they are answered before it here */
    if (has_faults && graph_dice(run, 40) == 0) {
        for (int n = 0; n < NODES; n++) {
            refresh(run, n, true);
            perform_effects(run, n);
        }
        crash(run, (int)graph_dice(run, NODES));
    }
}

void graph_settings(struct bd_settings *settings, int node)
{
    test_settings_init(settings);
    settings->kv_value_bytes_max = 600; /* long lists go in parts */
    settings->kv_txn_ops_max = 6;
    settings->leader_ttl = bd_secs(3);
    snprintf(settings->node, sizeof settings->node, "node-%d", node);
    settings->nteams = 1;
    snprintf(settings->teams[0].name, BD_NAME_BYTES, "a");
}

static int play(unsigned long seed, int *ends, int *cancels)
{
    struct graph_run *run = calloc(1, sizeof *run);
    int next = 0;
    if (!run)
        abort();
    run->seed = seed;
    run->log = (struct bd_log){BD_LOG_ERROR, "graphs"};
    run->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(run->rng, seed);
    for (int n = 0; n < NODES; n++)
        graph_settings(&run->settings[n], n);
    run->store_revision = 1;
    for (int n = 0; n < NODES; n++)
        start_node(run, n);
    acquire_leadership(run, 0);
    for (int i = 0; i < STEPS; i++)
        step(run, &next, true);
    for (int i = 0; i < 4 * STEPS && (next < JOBS || i < STEPS); i++)
        step(run, &next, false);
    graph_check_end(run);
    *ends += run->ends;
    *cancels += run->cancels;
    int faults = run->faults;
    for (int n = 0; n < NODES; n++)
        stop_node(run, n);
    for (int i = 0; i < run->nkeys; i++)
        json_decref(run->keys[i].value);
    gsl_rng_free(run->rng);
    free(run);
    return faults;
}

int main(int argc, char **argv)
{
    int faults = 0, ends = 0, cancels = 0, seeds = argc > 1 ? number_of(argv[1]) : 0;
    for (int s = 1; s <= seeds; s++)
        faults += play((unsigned long)s, &ends, &cancels);
    faults += graph_check_large();
    printf("%d seeds: %d jobs done, %d times told cancelled, %d faults\n", seeds, ends, cancels,
           faults);
    return faults || seeds == 0 || ends == 0 || cancels == 0;
}
