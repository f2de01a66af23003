/* Random graphs of jobs that depend on others, compared with a plain model of dependencies. Two
 * controllers' cores run over a model of the store and one machine, with submissions,
 * cancellations, queries, lost answers and crashes of either controller. The seeds are fixed.
 * Asserted:
 *
 * - No task starts before the records of all parents of its job have the state done.
 * - Each node reports a job as cancelled exactly when the job or one of its direct or indirect
 *   parents was cancelled, and never reports another state after that.
 * - Every job that is not cancelled ends.
 * - In the end the record of every cancelled job has the state cancelled.
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

#define STEPS 900 /* with faults */

unsigned graph_random(struct graph_run *run, unsigned n)
{
    return (unsigned)gsl_rng_uniform_int(run->rng, n);
}

static void refresh(struct graph_run *run, int node, bool succeeds);

/* Either the command or its answer may be lost. */
static void send_direct_command(struct graph_run *run, int node, struct bd_effect *effect)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task *tasks = calloc(TASKS, sizeof *tasks);
    bool is_delivered = graph_random(run, 12) != 0;
    bool is_answered = is_delivered && graph_random(run, 12) != 0;
    if (is_delivered)
        graph_execute_commands(run, effect->body);
    if (is_answered)
        graph_fill_heartbeat(run, &heartbeat, tasks);
    bd_worker_direct_command_completed(run->cores[node], effect->machine, effect->fencing_token,
                                       effect->has_launches, is_answered ? 200 : 0,
                                       is_answered ? &heartbeat : NULL);
    free(tasks);
}

static void commit_user_txn(struct graph_run *run, int node, struct bd_effect *effect)
{
    json_t *failed = NULL;
    long status = graph_random(run, 15) == 0 ? 0 : 1; /* 0: the transaction is lost */
    if (status) {
        char *copy = strdup(effect->body), *rest = NULL;
        status = 200;
        for (char *line = strtok_r(copy, "\n", &rest); line && status == 200;
             line = strtok_r(NULL, "\n", &rest)) {
            json_decref(failed);
            status = graph_apply(run, line, &failed);
        }
        free(copy);
        if (graph_random(run, 15) == 0) /* applied, but the answer is lost */
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
            commit_user_txn(run, node, effect);
        else if (effect->kind == BD_EFFECT_DIRECT_COMMAND)
            send_direct_command(run, node, effect);
        else if (effect->kind == BD_EFFECT_READ_BARRIER)
            refresh(run, node, graph_random(run, 10) != 0);
        else if (effect->kind == BD_EFFECT_REPLY && effect->status == 200)
            graph_execute_commands(run, effect->body);
        if (effect->kind == BD_EFFECT_LEADER_TXN) {
            run->pending_commit[node] = effect;
        } else {
            bd_effect_free(effect);
        }
        effect = next ? next : bd_effects_take(run->cores[node]);
    }
}

/* Passes the changes since the node's last refresh to its core, or reports a failed refresh. */
static void refresh(struct graph_run *run, int node, bool succeeds)
{
    uint64_t after = run->refreshed_revision[node];
    for (int i = 0; succeeds && i < run->nkeys; i++) {
        struct bd_kv_change change = {run->keys[i].name, run->keys[i].value, run->keys[i].revision};
        if (change.revision > after && strncmp(change.key, "j/", 2) == 0)
            bd_replica_apply(run->cores[node], &change);
    }
    if (succeeds)
        run->refreshed_revision[node] = run->store_revision;
    bd_replica_refreshed(run->cores[node], after, run->store_revision, run->cores[node]->now,
                         run->cores[node]->replica.barrier_in_flight, succeeds);
}

static void set_clocks(struct graph_run *run)
{
    for (int node = 0; node < NODES; node++)
        if (run->cores[node])
            bd_core_set_clock(run->cores[node], bd_secs(100 + run->now_s), 1000 + run->now_s);
}

static void complete_commit(struct graph_run *run)
{
    int node = run->leader;
    struct bd_effect *effect = run->pending_commit[node];
    json_t *failed = NULL;
    if (!effect)
        return;
    run->pending_commit[node] = NULL;
    long status = graph_apply(run, effect->body, &failed);
    bd_core_leader_txn_completed(run->cores[node],
                                 status == 200 ? BD_TXN_COMMITTED : BD_TXN_CONFLICT,
                                 run->store_revision, failed);
    json_decref(failed);
    bd_effect_free(effect);
}

/* Starts a new process. Keys may have any order, so the node reads the records from a random
 * one on. */
static void start_node(struct graph_run *run, int node)
{
    static const double cpus = 10000;
    struct bd_machine_type_text type = {
        .cpus = cpus, .mem_gb = cpus, .price = 1, .spot_price = 1, .boot_s = 5};
    snprintf(type.label, sizeof type.label, "big");
    snprintf(type.zones[type.zone_count++], BD_LABEL_BYTES, "a");
    type.fetch_gb_per_s = type.cache_gb = 100;
    run->cores[node] = bd_core_new(&run->settings[node], &run->log);
    if (!run->cores[node])
        abort();
    set_clocks(run);
    bd_inventory_types_received(run->cores[node], &type, 1);
    unsigned from = run->nkeys ? graph_random(run, (unsigned)run->nkeys) : 0;
    for (int i = 0; i < run->nkeys; i++) {
        struct graph_key *key = &run->keys[((unsigned)i + from) % (unsigned)run->nkeys];
        struct bd_kv_change change = {key->name, key->value, key->revision};
        if (strncmp(change.key, "j/", 2) == 0)
            bd_replica_apply(run->cores[node], &change);
    }
    run->refreshed_revision[node] = run->store_revision;
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
    if (run->pending_commit[node])
        bd_effect_free(run->pending_commit[node]);
    run->pending_commit[node] = NULL;
    bd_core_free(run->cores[node]);
    run->cores[node] = NULL;
}

static void crash(struct graph_run *run, int node)
{
    json_t *failed = NULL;
    if (run->pending_commit[node] &&
        graph_random(run, 2)) { /* the transaction was applied nevertheless */
        (void)graph_apply(run, run->pending_commit[node]->body, &failed);
        json_decref(failed);
    }
    stop_node(run, node);
    start_node(run, node);
    if (node == run->leader)
        acquire_leadership(run, (int)graph_random(run, NODES));
}

static struct graph_request *new_request(enum graph_request_kind kind, int job)
{
    struct graph_request *request = calloc(1, sizeof *request);
    request->kind = kind;
    request->job = job;
    return request;
}

/* Draws parents that give long and wide graphs: half of them have close numbers. A repeated
 * submission keeps the parents of the first. */
static void draw_parents(struct graph_run *run, int number)
{
    struct graph_job *job = &run->jobs[number];
    for (unsigned k = graph_random(run, PARENTS_MAX + 1);
         !job->are_parents_drawn && number > 0 && k > 0; k--) {
        int parent = graph_random(run, 2)
                         ? number - 1 - (int)graph_random(run, number < 3 ? (unsigned)number : 3)
                         : (int)graph_random(run, (unsigned)number);
        if (run->jobs[parent].is_accepted)
            job->parents[job->nparents++] = parent;
    }
    job->are_parents_drawn = true;
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
    bd_user_submit(run->cores[graph_random(run, NODES)], new_request(GRAPH_SUBMIT, number), body,
                   strlen(body));
}

/* Draws an accepted job; -1: the job drawn is not accepted. */
static int draw_job(struct graph_run *run)
{
    int job = (int)graph_random(run, JOBS);
    return run->jobs[job].is_accepted ? job : -1;
}

static void user_step(struct graph_run *run, int *next, bool may_cancel)
{
    char id[32];
    int job = draw_job(run), node = (int)graph_random(run, NODES);
    if (*next < JOBS && graph_random(run, 3) == 0) {
        submit(run, *next);
        for (int k = 0; k < NODES; k++)
            perform_effects(run, k);
        *next += run->jobs[*next].is_accepted;
        return;
    }
    if (job < 0)
        return;
    snprintf(id, sizeof id, "job-%d", job);
    if (may_cancel && graph_random(run, 14) == 0)
        bd_user_cancel(run->cores[node], new_request(GRAPH_CANCEL, job), id);
    else
        bd_user_status(run->cores[node], new_request(GRAPH_QUERY, job), id);
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
    run->now_s += 0.3;
    set_clocks(run);
    bd_leadership_lease_renewed(run->cores[run->leader], 7, run->cores[run->leader]->now);
    user_step(run, next, has_faults);
    machine_step(run);
    for (int n = 0; n < NODES; n++)
        refresh(run, n, graph_random(run, 8) != 0);
    if (graph_random(run, 3))
        complete_commit(run);
    for (int n = 0; n < NODES; n++) {
        bd_core_tick(run->cores[n]);
        perform_effects(run, n);
    }
    /* a crash loses the users' pending requests, so the nodes answer them first */
    if (has_faults && graph_random(run, 40) == 0) {
        for (int n = 0; n < NODES; n++) {
            refresh(run, n, true);
            perform_effects(run, n);
        }
        crash(run, (int)graph_random(run, NODES));
    }
}

void graph_init_settings(struct bd_settings *settings, int node)
{
    test_settings_init(settings);
    settings->kv_value_bytes_max = 600; /* long lists are written in parts */
    settings->kv_txn_ops_max = 6;
    settings->leader_ttl = bd_secs(3);
    snprintf(settings->node, sizeof settings->node, "node-%d", node);
    settings->nteams = 1;
    snprintf(settings->teams[0].name, BD_NAME_BYTES, "a");
}

static int run_seed(unsigned long seed, int *jobs_done, int *cancelled_answers)
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
        graph_init_settings(&run->settings[n], n);
    run->store_revision = 1;
    for (int n = 0; n < NODES; n++)
        start_node(run, n);
    acquire_leadership(run, 0);
    for (int i = 0; i < STEPS; i++)
        step(run, &next, true);
    for (int i = 0; i < 4 * STEPS && (next < JOBS || i < STEPS); i++)
        step(run, &next, false);
    graph_check_end(run);
    *jobs_done += run->jobs_done;
    *cancelled_answers += run->cancelled_answers;
    int violations = run->violations;
    for (int n = 0; n < NODES; n++)
        stop_node(run, n);
    for (int i = 0; i < run->nkeys; i++)
        json_decref(run->keys[i].value);
    gsl_rng_free(run->rng);
    free(run);
    return violations;
}

int main(int argc, char **argv)
{
    int violations = 0, jobs_done = 0, cancelled_answers = 0,
        seeds = argc > 1 ? parse_number(argv[1]) : 0;
    for (int s = 1; s <= seeds; s++)
        violations += run_seed((unsigned long)s, &jobs_done, &cancelled_answers);
    violations += graph_check_large();
    printf("%d seeds: %d jobs done, %d answers reported a job as cancelled, %d violations\n", seeds,
           jobs_done, cancelled_answers, violations);
    return violations || seeds == 0 || jobs_done == 0 || cancelled_answers == 0;
}
