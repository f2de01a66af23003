/* Days on which faults meet, in simulated time, against the protocol's rules.
 *
 * - simulation FILE [SEEDS]: a day from a file, with so many seeds
 * - simulation random FROM N: days drawn from N seeds
 * - simulation seed FILE|random N [debug]: one of them, printed step by step
 *
 * A file has lines `at SECONDS FAULT ...`. The day ends long enough after the last fault for
 * all work to be served. `jobs N`: how many come; `cancelled SHARE`; `small 1`: jobs of one short
 * task; `fetch SECONDS` of an image. Faults, with FOR in seconds and WHO a controller's number,
 * `leader` or `any`:
 *
 * - store: outage FOR, slow FOR, refuse WHO FOR, blind WHO FOR (its refreshes of the
 *   records fail), late SHARE FOR, lost SHARE FOR
 * - network: peers WHO FOR, alone WHO FOR (from peers and store), zones FOR, held FOR
 * - late heartbeats: copies SHARE FOR, next SHARE FOR (to all as the next leader begins)
 * - machines: hang N FOR, deaf N FOR, mute N FOR, cut N FOR, hold N FOR, die N
 * - controllers: crash WHO BACK, all BACK, stall WHO FOR (the process stands still), senders WHO
 *   FOR (its direct commands wait in its own queue)
 * - users: cancel N, burst N
 * - administrators: drain N REPLACES (the first N machines that are up; 1: replaced), pause 0,
 *   resume 0, calloff 0 (the newest drain)
 *
 * `simulation delays FROM N` draws days with delays inside the controllers (`senders`, `stall`)
 * among machines that hang and cancellations. `simulation drains FROM N` draws days with drains. In
 * a file `drains 1` switches them on, `machines N` is how many there are at first, `services N` how
 * many services come first, and `budget A B` what each team bears. */
#include "simulation.h"
#include "brambledoor/log.h"
#include "drain/drain_record.h"
#include "sim_day.h"
#include "sim_drain.h"
#include "sim_plan.h"
#include "wire/wire_jobs.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_S 0.02
#define OVERTIME_MAX_S 400.0 /* so long work may take after the day's end */
#define SEEDS 3              /* of a file's day, unless told otherwise */

/* One step of simulated time. */
static void step(struct sim *sim, const struct sim_plan *plan)
{
    bool was_out = sim->now < sim->outage_until;
    sim->now += STEP_S;
    if (was_out && sim->now >= sim->outage_until)
        sim_outage_over(sim);
    sim_store_tick(sim);
    while (sim->queue && sim->queue->at <= sim->now) {
        struct sim_event *event = sim->queue;
        sim->queue = event->next;
        sim_day_event(sim, plan, event);
        free(event->text);
        free(event);
    }
    sim_workers_tick(sim);
    if (sim->now > sim->faults_end && sim->now < sim->faults_end + 2 * STEP_S)
        sim_drains_resume(sim);
    sim_check_rules(sim);
}

static bool goes_on(const struct sim *sim)
{
    if (sim->violations > SIM_VIOLATIONS_MAX)
        return false;
    return sim->now < sim->ends || (sim->now < sim->ends + OVERTIME_MAX_S && !sim_all_served(sim));
}

static void print_summary(const struct sim *sim)
{
    if (sim->draining)
        printf("%d drains, %u stops of replicas, at most %u of %u and %u of %u down; ",
               sim->ndrains, sim->check.stops, sim->check.peak_down[0], sim->check.budgets[0],
               sim->check.peak_down[1], sim->check.budgets[1]);
    printf("%s seed %lu: %d jobs, %d starts, %d terms, %llu events, %d started long after a "
           "cancellation\n",
           sim->violations ? "FAIL" : "ok  ", sim->seed, sim->njobs, sim->starts, sim->terms,
           (unsigned long long)sim->events, sim->late_starts);
}

enum output { QUIET, VERBOSE, VERBOSE_WITH_LOG };

/* Returns how many rules were broken. */
static int play(const struct sim_plan *plan, unsigned long seed, enum output output,
                struct behaviour_digest *digest)
{
    struct sim *sim = malloc(sizeof *sim);
    if (!sim)
        abort();
    sim_day_begin(sim, plan, seed);
    sim->is_verbose = output != QUIET;
    sim->digest = digest;
    for (int i = 0; output == VERBOSE_WITH_LOG && i < SIM_NODES; i++)
        sim->nodes[i].log.level = BD_LOG_DEBUG;
    while (goes_on(sim))
        step(sim, plan);
    if (sim->violations == 0)
        sim_check_end(sim);
    int violations = sim->violations;
    print_summary(sim);
    sim_day_end(sim);
    free(sim);
    return violations;
}

static const struct kind {
    const char *name;
    void (*draw)(struct sim_plan *, unsigned long seed);
} kinds[] = {
    {"random", sim_plan_draw}, {"drains", sim_plan_draw_drains}, {"delays", sim_plan_draw_delays}};

static const struct kind *kind_named(const char *name)
{
    for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
        if (strcmp(kinds[i].name, name) == 0)
            return &kinds[i];
    return NULL;
}

/* The plan of a drawn kind of day or of a file. False: there is no such. */
static bool plan_named(struct sim_plan *plan, const char *name, unsigned long seed)
{
    const struct kind *kind = kind_named(name);
    if (kind)
        kind->draw(plan, seed);
    return kind || sim_plan_read(plan, name);
}

/* digest KIND|FILE FROM N: a line a day with the digest of its steps.
 * steps KIND|FILE SEED: the steps of one day. */
static int play_digests(int argc, char **argv, struct sim_plan *plan)
{
    bool traced = strcmp(argv[1], "steps") == 0;
    unsigned long from = strtoul(argv[3], NULL, 10);
    unsigned long n = !traced && argc > 4 ? strtoul(argv[4], NULL, 10) : 1;
    for (unsigned long seed = from; seed < from + n; seed++) {
        struct behaviour_digest digest;
        if (!plan_named(plan, argv[2], seed))
            return 2;
        behaviour_digest_start(&digest, traced ? stdout : NULL);
        (void)play(plan, seed, QUIET, &digest);
        printf("digest %016llx of %llu steps, seed %lu\n", (unsigned long long)digest.hash,
               (unsigned long long)digest.steps, seed);
    }
    return 0;
}

/* Returns how many of the days FROM, FROM + 1, ... failed. */
static int play_days(struct sim_plan *plan, const struct kind *kind, unsigned long from,
                     unsigned long count)
{
    int failed = 0;
    for (unsigned long seed = from; seed < from + count; seed++) {
        if (kind)
            kind->draw(plan, seed);
        failed += play(plan, seed, QUIET, NULL) != 0;
    }
    return failed;
}

int main(int argc, char **argv)
{
    static struct sim_plan plan;
    const char *verb = argc > 1 ? argv[1] : "";
    if (argc >= 4 && (strcmp(verb, "digest") == 0 || strcmp(verb, "steps") == 0))
        return play_digests(argc, argv, &plan);
    (void)setvbuf(stdout, NULL, _IONBF, 0); /* in step with the log */
    if (argc == 2 && strcmp(verb, "checker") == 0)
        return drain_check_self_test() ? 0 : 1;
    int failed = 0;
    if (argc >= 4 && strcmp(verb, "seed") == 0) {
        unsigned long seed = strtoul(argv[3], NULL, 10);
        if (!plan_named(&plan, argv[2], seed))
            return 2;
        failed = play(&plan, seed, argc > 4 ? VERBOSE_WITH_LOG : VERBOSE, NULL);
    } else if (argc == 4 && kind_named(verb)) {
        failed = play_days(&plan, kind_named(verb), strtoul(argv[2], NULL, 10),
                           strtoul(argv[3], NULL, 10));
    } else if (argc >= 2 && sim_plan_read(&plan, verb)) {
        failed = play_days(&plan, NULL, 1, argc > 2 ? strtoul(argv[2], NULL, 10) : SEEDS);
    } else {
        return 2;
    }
    return failed ? 1 : 0;
}
