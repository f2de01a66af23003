/* Measurements of draining; not a test but for `check`.
 *
 * - drain-profile fleet DRAINED PER_CENT IN_STEP: a fleet of twice as many machines with ten
 *   replicas each, of two teams, half of it drained: simulated seconds, steps, and the most that
 *   were down of a team at once
 * - drain-profile steps MACHINES SEEDS: the greedy choice beside the solver's, over drawn machines
 *   of six teams: steps to finish, and processor time a choice
 * - drain-profile ticks MACHINES none|drain: what a look of the leader costs, under callgrind
 * - drain-profile check: small sizes of the above, with bounds */
#include "../src/drain/drain_internal.h"
#include "brambledoor/log.h"
#include "numbers.h"
#include "test_settings.h"
#if __has_include(<valgrind/callgrind.h>)
#include <valgrind/callgrind.h>
#else
#define CALLGRIND_TOGGLE_COLLECT
#endif
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/task.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define REPLICAS 10  /* on a machine at first */
#define JOB_TASKS 40 /* replicas of a service */
#define START_S 1.0  /* from the launch until it runs */
#define OVERTIME_MAX_S 20000
#define TICKS 20
#define TEAMS 2

struct fleet {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *core;
    uint32_t machines;
    uint64_t seq, revision;
    double now;
    uint32_t most_down[TEAMS];
};

static void at(struct fleet *f, double now)
{
    f->now = now;
    bd_core_set_clock(f->core, bd_secs(100 + now), 1000 + now);
}

static void fill(struct fleet *f, uint32_t i, struct bd_heartbeat *r,
                 struct bd_reported_task *tasks)
{
    struct bd_machine *m = NULL;
    memset(tasks, 0, 128 * sizeof *tasks);
    *r = (struct bd_heartbeat){.incarnation = 1,
                               .seq = ++f->seq,
                               .fencing_token = f->core->lead.term,
                               .notice = -1,
                               .tasks = tasks};
    snprintf(r->machine, sizeof r->machine, "vm-%06u", i);
    snprintf(r->addr, sizeof r->addr, "10.1.0.1:%u", i);
    snprintf(r->type, sizeof r->type, "small");
    snprintf(r->zone, sizeof r->zone, "%s", i % 2 ? "a" : "b");
    HASH_FIND_STR(f->core->machines, r->machine, m);
    for (uint32_t k = 0; m && k < m->nreservations && r->n < 128; k++) {
        const struct bd_job *job = m->reservations[k].job;
        const struct bd_task *task = &job->tasks[m->reservations[k].task];
        if (task->state == BD_TASK_PLANNED)
            continue;
        struct bd_reported_task *seen = &tasks[r->n++];
        bool stops = task->flags & BD_TASK_FLAG_STOP_REQUESTED;
        bool begins = bd_between(job->last_placed_at, f->core->now) < START_S;
        snprintf(seen->job, sizeof seen->job, "%s", job->id);
        seen->task = m->reservations[k].task;
        seen->attempt = task->attempt;
        seen->execution = stops ? BD_EXECUTION_EXITED
                          : task->execution == BD_EXECUTION_RUNNING || !begins
                              ? BD_EXECUTION_RUNNING
                              : BD_EXECUTION_FETCHING;
        seen->exit_reason = stops ? BD_EXIT_STOPPED : BD_EXIT_NONE;
    }
}

static void heartbeat(struct fleet *f, uint32_t i)
{
    struct bd_heartbeat r;
    struct bd_reported_task tasks[128];
    struct bd_machine *m = NULL;
    char id[BD_LABEL];
    snprintf(id, sizeof id, "vm-%06u", i);
    HASH_FIND_STR(f->core->machines, id, m);
    if (m && m->gone)
        return;
    fill(f, i, &r, tasks);
    bd_worker_heartbeat_received(f->core, NULL, &r, "{}", 2);
}

/* Direct commands are carried out at once, and returned machines are gone. */
static void answer_effects(struct fleet *f)
{
    struct bd_effect *e = bd_effects_take(f->core);
    while (e) {
        struct bd_effect *next = e->next;
        struct bd_heartbeat r;
        struct bd_reported_task tasks[128];
        if (e->kind == BD_EFFECT_DIRECT_COMMAND) {
            fill(f, (uint32_t)number_of(f->core->by_index[e->machine]->id + 3), &r, tasks);
            bd_worker_direct_command_completed(f->core, e->machine, e->fencing_token, e->launch,
                                               200, &r);
        } else if (e->kind == BD_EFFECT_SCALE_IN) {
            json_t *o = json_loads(e->body, 0, NULL);
            char names[128][BD_LABEL];
            bd_scale_in_completed(f->core, names, bd_wire_machine_names(o, names, 128), true);
            json_decref(o);
        }
        bd_effect_free(e);
        e = next;
    }
}

/* Half a second: a quarter of the machines reports. */
static void half_second(struct fleet *f, int half)
{
    at(f, f->now + 0.5);
    bd_leadership_renewed(f->core, 7, f->core->now);
    bd_delegate_records_read(f->core, NULL, f->core->now);
    bd_replica_refreshed(f->core, f->core->replica.store_revision, f->core->replica.store_revision,
                         f->core->now, f->core->replica.barrier_out, true);
    for (uint32_t i = (uint32_t)half % 4; i < f->machines; i += 4)
        heartbeat(f, i);
    bd_core_tick(f->core);
    if (f->core->lead.commit)
        bd_leader_txn_completed(f->core, BD_TXN_COMMITTED, ++f->revision, NULL);
    answer_effects(f);
    for (int team = 0; team < TEAMS; team++) {
        uint32_t down, up;
        bd_ledger_count(f->core, f->settings.teams[team].name, "", &down, &up);
        f->most_down[team] = down > f->most_down[team] ? down : f->most_down[team];
    }
}

static void service(struct fleet *f, uint32_t n)
{
    struct bd_record r = {.state = BD_JOB_ACTIVE,
                          .at = 1000,
                          .has_spec = true,
                          .tasks = JOB_TASKS,
                          .spec = {.ntypes = -1}};
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/job-%06u", n);
    snprintf(r.spec.job_class, sizeof r.spec.job_class, "web");
    snprintf(r.spec.team, sizeof r.spec.team, "team-%u", n % TEAMS);
    snprintf(r.spec.image, sizeof r.spec.image, "img");
    r.spec.kind = BD_JOB_SERVICE;
    r.spec.priority = BD_PRIORITY_PRODUCTION;
    r.spec.tasks = JOB_TASKS;
    r.spec.cpus = r.spec.mem = 1;
    r.spec.deadline_s = -1;
    json_t *v = bd_wire_record(&r);
    struct bd_change ch = {key, v, ++f->revision};
    bd_replica_apply(f->core, &ch);
    json_decref(v);
}

static void declare(struct fleet *f, double per_cent, uint32_t in_step)
{
    struct bd_drain_rules *rules = calloc(1, sizeof *rules);
    if (!rules)
        abort();
    *rules = (struct bd_drain_rules){
        .machines_in_step = in_step, .stop_s = 60, .wait_s = 1, .replace_s = 60, .keep_s = 1e6};
    rules->budgets[rules->nbudgets++] =
        (struct bd_budget_rule){.per_cent = true, .amount = per_cent};
    f->settings.draining = rules;
}

static void build(struct fleet *f, uint32_t machines)
{
    test_settings_init(&f->settings);
    f->settings.ram_mb = 72;
    f->settings.leader_ttl = bd_secs(2);
    f->settings.idle_boots = 1e6; /* the room stays */
    f->settings.nteams = TEAMS;
    for (int i = 0; i < TEAMS; i++)
        snprintf(f->settings.teams[i].name, BD_NAME, "team-%d", i);
    f->log = (struct bd_log){BD_LOG_ERROR, "drain-profile"};
    f->machines = machines;
    f->core = bd_core_new(&f->settings, &f->log);
    if (!f->core)
        abort();
    at(f, 0);
    struct bd_type_text t = {.label = "small", .cpus = 2 * REPLICAS, .mem = 640, .price = 1};
    t.spot_price = t.fetch = t.cache_gb = t.boot = 30;
    t.nzones = 2;
    snprintf(t.zones[0], BD_LABEL, "a");
    snprintf(t.zones[1], BD_LABEL, "b");
    bd_inventory_types(f->core, &t, 1);
    bd_replica_listed(f->core, 1, f->core->now);
    struct bd_acquisition g = {.term = 1, .grant = 7, .nonce = "n", .renewed = f->core->now};
    g.receipts = json_array();
    g.intents = json_array();
    bd_core_leadership_acquired(f->core, &g);
    json_decref(g.receipts);
    json_decref(g.intents);
    bd_inventory_machines(f->core, NULL, 0, f->core->now);
    f->revision = 10;
    for (uint32_t i = 0; i < machines; i++)
        heartbeat(f, i);
    for (uint32_t n = 0; n < machines * REPLICAS / JOB_TASKS; n++)
        service(f, n);
    for (int half = 0; half < 120; half++)
        half_second(f, half);
    memset(f->most_down, 0, sizeof f->most_down);
}

/* The record of a drain of the first machines, with as many parts as they take. */
static void drain(struct fleet *f, uint32_t drained)
{
    struct bd_drain_record record = {.name = "d",
                                     .set = "s",
                                     .state = BD_DRAIN_ACTIVE,
                                     .at = f->core->wall,
                                     .machines = drained,
                                     .asked = json_object()};
    struct bd_drain_machine *entries = calloc(drained, sizeof *entries);
    json_t *drains = json_array(), *sets = json_array();
    uint32_t each = bd_drain_part_machines(&f->settings, f->settings.kv_value_bytes_max, 9);
    char key[BD_LABEL];
    if (!entries)
        abort();
    for (uint32_t i = 0; i < drained; i++)
        snprintf(entries[i].id, BD_LABEL, "vm-%06u", i);
    for (uint32_t from = 0; from < drained; from += each) {
        uint32_t n = drained - from < each ? drained - from : each;
        bd_drain_part_key(key, sizeof key, record.set, record.parts++);
        json_array_append_new(sets, json_pack("{s:s,s:o,s:i}", "k", key, "value",
                                              bd_drain_part_value(entries + from, n), "mark", 1));
    }
    json_array_append_new(drains, json_pack("{s:s,s:o,s:i}", "k", BD_DRAIN_KEY "d", "value",
                                            bd_drain_record_value(&record), "mark", 1));
    bd_drain_records(f->core, drains, sets);
    json_decref(drains);
    json_decref(sets);
    json_decref(record.asked);
    free(entries);
}

static bool is_over(const struct fleet *f)
{
    return !f->core->drains->drains || f->core->drains->drains->over;
}

static void drop(struct fleet *f)
{
    bd_core_free(f->core);
    free(f->settings.draining);
}

/* Simulated seconds until the drain was over. */
static double drain_fleet(uint32_t drained, double per_cent, uint32_t in_step)
{
    struct fleet f;
    memset(&f, 0, sizeof f);
    declare(&f, per_cent, in_step);
    build(&f, 2 * drained);
    double began = f.now;
    drain(&f, drained);
    for (int half = 0; !is_over(&f) && f.now < began + OVERTIME_MAX_S; half++)
        half_second(&f, half);
    uint32_t down, up, steps = f.core->drains->steps;
    bd_ledger_count(f.core, "team-0", "", &down, &up);
    printf("%u of %u machines, %.0f%%, %u in a step: %s%.0f s, %u times told, at most %u and %u of "
           "%u replicas of a team down\n",
           drained, 2 * drained, per_cent, in_step, is_over(&f) ? "" : "not over after ",
           f.now - began, steps, f.most_down[0], f.most_down[1], up);
    double took = is_over(&f) ? f.now - began : -1;
    drop(&f);
    return took;
}

/* ---- the choice alone ---- */

#define CHOICE_TEAMS 6
#define CHOICE_BUDGET 12u
#define CHOICE_IN_STEP 16u

static void draw(gsl_rng *rng, struct bd_candidate *candidates, uint32_t n)
{
    memset(candidates, 0, n * sizeof *candidates);
    for (uint32_t i = 0; i < n; i++) {
        struct bd_candidate *c = &candidates[i];
        c->zone = (int)gsl_rng_uniform_int(rng, 3);
        c->nneeds = 1 + (uint32_t)gsl_rng_uniform_int(rng, 3);
        uint32_t team = (uint32_t)gsl_rng_uniform_int(rng, CHOICE_TEAMS);
        for (uint32_t k = 0; k < c->nneeds; k++) {
            uint32_t tasks = 1 + (uint32_t)gsl_rng_uniform_int(rng, 7);
            c->needs[k] = (struct bd_need){(team + k) % CHOICE_TEAMS, tasks, 1};
            c->tasks += tasks;
        }
        c->moves.cpus = c->moves.mem = c->tasks;
    }
}

/* Whether all that was chosen may go together. */
static bool respects(const struct bd_step_problem *given, const roaring_bitmap_t *chosen)
{
    struct bd_step_problem problem = *given;
    uint32_t left[CHOICE_TEAMS], budget = 0;
    memcpy(left, given->left, sizeof left);
    problem.left = left;
    for (uint32_t i = 0; i < given->n; i++) {
        if (!roaring_bitmap_contains(chosen, i))
            continue;
        if (bd_step_obstacle(&problem, &given->candidates[i], &budget) != BD_DRAIN_WAIT_NOTHING)
            return false;
        bd_step_take(&problem, left, &given->candidates[i]);
    }
    return true;
}

/* Steps until all machines went, each with all budgets free; *spent: processor seconds a choice. */
static uint32_t steps_of(const struct bd_candidate *drawn, uint32_t n, bool solver, double *spent,
                         uint32_t *given_up)
{
    static const bool apart[BD_MAX_ZONES][BD_MAX_ZONES] = {{false, true}, {true, false}};
    uint32_t left[CHOICE_TEAMS], steps = 0, rest = n;
    struct bd_candidate *c = malloc(n * sizeof *c);
    if (!c)
        abort();
    memcpy(c, drawn, n * sizeof *c);
    clock_t began = clock();
    while (rest > 0) {
        for (int k = 0; k < CHOICE_TEAMS; k++)
            left[k] = CHOICE_BUDGET;
        struct bd_step_problem problem = {
            c, rest, left, CHOICE_TEAMS, CHOICE_IN_STEP, {1e6, 1, 1e6}, apart, {false}};
        roaring_bitmap_t *chosen = roaring_bitmap_create();
        bool solved = solver && bd_steps_solve(&problem, chosen);
        *given_up += solver && !solved;
        if (!solved) {
            roaring_bitmap_clear(chosen);
            bd_steps_greedy(&problem, chosen);
        }
        if (!respects(&problem, chosen)) {
            fprintf(stderr, "a choice breaks a limit\n");
            exit(1);
        }
        uint32_t kept = 0;
        for (uint32_t i = 0; i < rest; i++)
            if (!roaring_bitmap_contains(chosen, i))
                c[kept++] = c[i];
        roaring_bitmap_free(chosen);
        rest = kept;
        steps++;
    }
    *spent += (double)(clock() - began) / CLOCKS_PER_SEC / steps;
    free(c);
    return steps;
}

static int compare_steps(uint32_t machines, uint32_t seeds)
{
    double spent[2] = {0, 0};
    uint32_t steps[2] = {0, 0}, given_up = 0, better = 0, worse = 0;
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    struct bd_candidate *drawn = malloc(machines * sizeof *drawn);
    if (!rng || !drawn)
        abort();
    for (uint32_t seed = 0; seed < seeds; seed++) {
        gsl_rng_set(rng, seed + 1);
        draw(rng, drawn, machines);
        uint32_t greedy = steps_of(drawn, machines, false, &spent[0], &given_up);
        uint32_t solved = steps_of(drawn, machines, true, &spent[1], &given_up);
        steps[0] += greedy;
        steps[1] += solved;
        better += solved < greedy;
        worse += solved > greedy;
    }
    printf(
        "%u machines, %u draws: greedy %.2f steps, %.1f us a choice; solver %.2f steps, %.1f us a "
        "choice; fewer in %u, more in %u, given up %u times\n",
        machines, seeds, (double)steps[0] / seeds, spent[0] / seeds * 1e6, (double)steps[1] / seeds,
        spent[1] / seeds * 1e6, better, worse, given_up);
    gsl_rng_free(rng);
    free(drawn);
    return steps[1] <= steps[0] + seeds ? 0 : 1;
}

/* ---- a look ---- */

static int ticks(uint32_t machines, const char *what)
{
    struct fleet f;
    memset(&f, 0, sizeof f);
    if (strcmp(what, "off") != 0)
        declare(&f, 1, 4);
    build(&f, machines);
    if (strcmp(what, "drain") == 0)
        drain(&f, machines / 2);
    for (int k = 0; k < TICKS; k++) {
        at(&f, f.now + 0.51);
        bd_leadership_renewed(f.core, 7, f.core->now);
        bd_replica_refreshed(f.core, f.core->replica.store_revision, f.core->replica.store_revision,
                             f.core->now, false, true);
        for (uint32_t i = 0; i < f.machines; i++)
            heartbeat(&f, i);
        f.core->lead.next_autoscaling = bd_add(f.core->now, bd_secs(1000));
        CALLGRIND_TOGGLE_COLLECT;
        bd_core_tick(f.core);
        CALLGRIND_TOGGLE_COLLECT;
        if (f.core->lead.commit)
            bd_leader_txn_completed(f.core, BD_TXN_COMMITTED, ++f.revision, NULL);
        answer_effects(&f);
    }
    drop(&f);
    return 0;
}

int main(int argc, char **argv)
{
    if (argc == 5 && strcmp(argv[1], "fleet") == 0)
        return drain_fleet((uint32_t)number_of(argv[2]), strtod(argv[3], NULL),
                           (uint32_t)number_of(argv[4])) < 0;
    if (argc == 4 && strcmp(argv[1], "steps") == 0)
        return compare_steps((uint32_t)number_of(argv[2]), (uint32_t)number_of(argv[3]));
    if (argc == 4 && strcmp(argv[1], "ticks") == 0)
        return ticks((uint32_t)number_of(argv[2]), argv[3]);
    if (argc == 2 && strcmp(argv[1], "check") == 0)
        return drain_fleet(20, 5, 8) < 0 || compare_steps(30, 20) != 0;
    return 2;
}
