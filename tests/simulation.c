/* Simulated days: several controllers' cores run against models of everything else, faults overlap,
 * and the rules of the protocol are checked.
 *
 * - simulation FILE [SEEDS]: the day of a file, with the seeds 1 to SEEDS
 * - simulation random|arrays|delays|drains|late FROM N: N drawn days, from the seed FROM on
 * - simulation seed FILE|KIND SEED [debug]: one day, with a trace; debug: with the log too
 * - simulation digest FILE|KIND FROM N: the digest of each day's steps
 * - simulation steps FILE|KIND SEED: the steps of one day
 * - simulation checker: tests that the checker of drains detects violations
 *
 * Of the kinds of drawn days, `arrays` adds large arrays and crashes of leaders, `delays` adds
 * delays inside the controllers (delay-sends, process-pause) among hanging machines and
 * cancellations, `drains` adds drains, and `late` adds direct commands and calls of the cloud that
 * are executed late, and machines that restart.
 *
 * A line of a file is a setting or a fault. The settings:
 *
 * - jobs N: how many jobs are submitted
 * - cancelled-share SHARE: the share of the jobs that users cancel
 * - one-task-jobs 1: each job is one short task
 * - odd-spellings 1: users, workers and the store spell their messages in drawn ways, with unknown
 *   fields; so they do on all drawn days
 * - large-arrays 1: some arrays have hundreds of tasks, and their users cancel them
 * - image-fetch-s SECONDS: how long each task fetches its image
 * - machines N: how many machines there are at the start
 * - services N: the first N jobs are services
 * - drains 1: the controllers have rules for drains
 * - budget A B: how many replicas of each team may be down
 *
 * A fault is `at SECONDS FAULT ...`. The day ends long enough after the last fault for all work to
 * finish. FOR is in seconds, and NODE is a controller's number, `leader` or `any`. Faults of the
 * key-value store:
 *
 * - store-outage FOR
 * - store-slow FOR
 * - store-refuse NODE FOR: the store refuses all calls of this controller
 * - refresh-fail NODE FOR: the store refuses this controller's refreshes of the records
 * - drains-unread NODE FOR: the store refuses this controller's reads of the drains' records
 * - late-writes SHARE FOR: this share of the transactions is applied late and not answered
 * - lost-answers SHARE FOR: this share of the transactions is applied and not answered
 *
 * Faults of the network and of heartbeats:
 *
 * - peer-cut NODE FOR: cuts the controller off from the others
 * - isolate NODE FOR: cuts the controller off from the others and from the store
 * - zone-cut FOR: cuts the zones off from each other
 * - delay-commands FOR: some commands and answers are delayed
 * - late-commands SHARE FOR: this share of the direct commands is not answered, and executed up to
 *   cancel_s and 30 s later
 * - late-cloud SHARE FOR: this share of the rentals and returns is not answered, and executed later
 * - replay SHARE FOR: copies of heartbeats arrive later
 * - replay-failover SHARE FOR: copies of heartbeats reach all controllers as the next leader starts
 *
 * Faults of N machines:
 *
 * - hang N FOR
 * - inbound-cut N FOR, outbound-cut N FOR, cut N FOR
 * - cut-buffered N FOR: the cut delivers at its end what it stopped
 * - die N
 * - machine-restart N FOR: the tasks end, and the machine is back with a new session
 *
 * Faults of controllers:
 *
 * - crash NODE FOR, crash-all FOR: the restart follows FOR seconds later, after crash-all up to 30%
 *   sooner or later
 * - process-pause NODE FOR
 * - delay-sends NODE FOR: direct commands wait in the controller's own queue
 *
 * Requests of users and administrators:
 *
 * - cancel N: users cancel up to N running jobs
 * - burst N: users submit N new jobs
 * - drain N REPLACES: drains the first N machines that are up; REPLACES 1: with replacements
 * - pause-drain N, resume-drain N, cancel-drain N: change the newest drain; N has no effect on it
 */
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
#define OVERTIME_MAX_S 400.0 /* after the day's end, while work is not complete */
#define DEFAULT_SEEDS 3

static void step(struct sim *sim, const struct sim_plan *plan)
{
    bool was_outage = sim->now < sim->store_outage_until;
    sim->now += STEP_S;
    if (was_outage && sim->now >= sim->store_outage_until)
        sim_store_outage_ended(sim);
    sim_store_tick(sim);
    while (sim->queue && sim->queue->at <= sim->now) {
        struct sim_event *event = sim->queue;
        sim->queue = event->next;
        sim_day_handle_event(sim, plan, event);
        free(event->text);
        free(event);
    }
    sim_workers_tick(sim);
    if (sim->now > sim->faults_end_at && sim->now < sim->faults_end_at + 2 * STEP_S)
        sim_drains_resume(sim);
    sim_check_rules(sim);
}

static bool is_day_running(const struct sim *sim)
{
    if (sim->violations > SIM_VIOLATIONS_MAX)
        return false;
    return sim->now < sim->ends_at ||
           (sim->now < sim->ends_at + OVERTIME_MAX_S && !sim_is_work_complete(sim));
}

static void print_summary(const struct sim *sim)
{
    if (sim->has_drains)
        printf("%d drains, %u stops of replicas, at most %u of %u and %u of %u down; ",
               sim->ndrains, sim->check.stops, sim->check.peak_stopped[0], sim->check.budgets[0],
               sim->check.peak_stopped[1], sim->check.budgets[1]);
    printf("%s seed %lu: %d jobs, %d starts, %d terms, %llu events, %d started long after a "
           "cancellation\n",
           sim->violations ? "FAIL" : "ok  ", sim->seed, sim->njobs, sim->starts, sim->terms,
           (unsigned long long)sim->events, sim->starts_after_cancellation);
}

enum output { QUIET, VERBOSE, VERBOSE_WITH_LOG };

/* Returns the number of violations. */
static int play(const struct sim_plan *plan, unsigned long seed, enum output output,
                struct behaviour_digest *digest)
{
    struct sim *sim = malloc(sizeof *sim);
    if (!sim)
        abort();
    sim_day_begin(sim, plan, seed);
    sim->is_verbose = output != QUIET;
    sim->digest = digest;
    /* digests compare versions, of which older ones do not read all spellings */
    sim->has_odd_spellings = plan->has_odd_spellings && !digest;
    sim->spelling = spelling_from_seed(seed);
    for (int i = 0; output == VERBOSE_WITH_LOG && i < SIM_NODES; i++)
        sim->nodes[i].log.level = BD_LOG_DEBUG;
    while (is_day_running(sim))
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
} kinds[] = {{"random", sim_plan_draw},
             {"arrays", sim_plan_draw_arrays},
             {"drains", sim_plan_draw_drains},
             {"delays", sim_plan_draw_delays},
             {"late", sim_plan_draw_late}};

static const struct kind *find_kind(const char *name)
{
    for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
        if (strcmp(kinds[i].name, name) == 0)
            return &kinds[i];
    return NULL;
}

static void draw_plan(struct sim_plan *plan, const struct kind *kind, unsigned long seed)
{
    kind->draw(plan, seed);
    plan->has_odd_spellings = 1;
}

/* Draws the plan of a kind of day, or reads it from a file. Returns false if there is neither. */
static bool load_plan(struct sim_plan *plan, const char *name, unsigned long seed)
{
    const struct kind *kind = find_kind(name);
    if (kind)
        draw_plan(plan, kind, seed);
    return kind || sim_plan_read(plan, name);
}

/* The commands `digest` and `steps`. */
static int play_digests(int argc, char **argv, struct sim_plan *plan)
{
    bool prints_steps = strcmp(argv[1], "steps") == 0;
    unsigned long from = strtoul(argv[3], NULL, 10);
    unsigned long count = !prints_steps && argc > 4 ? strtoul(argv[4], NULL, 10) : 1;
    for (unsigned long seed = from; seed < from + count; seed++) {
        struct behaviour_digest digest;
        if (!load_plan(plan, argv[2], seed))
            return 2;
        behaviour_digest_start(&digest, prints_steps ? stdout : NULL);
        (void)play(plan, seed, QUIET, &digest);
        printf("digest %016llx of %llu steps, seed %lu\n", (unsigned long long)digest.hash,
               (unsigned long long)digest.steps, seed);
    }
    return 0;
}

/* Returns how many of the days from seed `from` on failed. */
static int play_days(struct sim_plan *plan, const struct kind *kind, unsigned long from,
                     unsigned long count)
{
    int failed = 0;
    for (unsigned long seed = from; seed < from + count; seed++) {
        if (kind)
            draw_plan(plan, kind, seed);
        failed += play(plan, seed, QUIET, NULL) != 0;
    }
    return failed;
}

int main(int argc, char **argv)
{
    static struct sim_plan plan;
    const char *command = argc > 1 ? argv[1] : "";
    if (argc >= 4 && (strcmp(command, "digest") == 0 || strcmp(command, "steps") == 0))
        return play_digests(argc, argv, &plan);
    (void)setvbuf(stdout, NULL, _IONBF, 0); /* keeps the order of the trace and the log */
    if (argc == 2 && strcmp(command, "checker") == 0)
        return drain_check_self_test() ? 0 : 1;
    int failed = 0;
    if (argc >= 4 && strcmp(command, "seed") == 0) {
        unsigned long seed = strtoul(argv[3], NULL, 10);
        if (!load_plan(&plan, argv[2], seed))
            return 2;
        failed = play(&plan, seed, argc > 4 ? VERBOSE_WITH_LOG : VERBOSE, NULL);
    } else if (argc == 4 && find_kind(command)) {
        failed = play_days(&plan, find_kind(command), strtoul(argv[2], NULL, 10),
                           strtoul(argv[3], NULL, 10));
    } else if (argc >= 2 && sim_plan_read(&plan, command)) {
        failed = play_days(&plan, NULL, 1, argc > 2 ? strtoul(argv[2], NULL, 10) : DEFAULT_SEEDS);
    } else {
        return 2;
    }
    return failed ? 1 : 0;
}
