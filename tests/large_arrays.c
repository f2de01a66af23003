/* Arrays of 100,000 tasks in the pure core. Guards against a leader whose memory follows the number
 * of tasks that users submitted instead of those that are alive: it exceeds its memory limit, and
 * every next leader does too.
 *
 * large-arrays KIND [ARRAYS]: adds arrays in the state KIND, 40 by default, lets another term
 * begin, and compares the peak of the allocated bytes with a budget per job, per task and per live
 * task. cancelled-jobs and unfinished-jobs add many jobs of one task instead. */
#include "allocation_meter.h"
#include "autoscaling/autoscaling.h"
#include "core/core.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "numbers.h"
#include "profile.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ARRAYS_DEFAULT 40
#define CANCELLED_JOBS 5000
#define TASKS 100000u
#define MACHINES 40u
#define UNFINISHED_RAM_MB 24
#define UNFINISHED_JOBS_MAX 20000
#define ROUNDS 120 /* cycles in which tasks run and end */
#define TASKS_OF_MACHINE_MAX 128

/* the budget */
#define JOB_BYTES_MAX 8192.0 /* specification and state of a job */
#define TASK_BITS_MAX 4.0    /* of a task that is not alive */
#define LIVE_TASK_BYTES_MAX 1024.0
#define CANCELLED_JOB_BYTES_MAX 1024.0

static int failures, arrays = ARRAYS_DEFAULT;

static void check(const char *text, bool is_ok)
{
    failures += !is_ok;
    printf("%s %s\n", is_ok ? "ok  " : "FAIL", text);
}

static uint32_t count_live_tasks(const struct bd_core *core)
{
    uint32_t live = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        live += job->nplaced;
    return live;
}

/* Checks the peak since the last reset. excluded: bytes that do not count against the budget. */
static void check_peak(const struct deployment *deployment, const char *text, size_t excluded,
                       uint32_t live_tasks)
{
    double growth = (double)allocation_meter_peak() - (double)excluded;
    double budget =
        arrays * (JOB_BYTES_MAX + TASKS * TASK_BITS_MAX / 8) + live_tasks * LIVE_TASK_BYTES_MAX;
    printf("     %u jobs, %u live tasks: peak of %.0f bytes, at most %.0f\n",
           HASH_COUNT(deployment->core->jobs), live_tasks, growth, budget);
    check(text, growth <= budget);
}

/* receipts, intents: the records that the new term reads; NULL: none. */
static void begin_term(struct deployment *deployment, json_t *receipts, json_t *intents)
{
    struct bd_acquisition acquisition = {.term = ++deployment->revision,
                                         .grant = 7,
                                         .nonce = "n",
                                         .renewal_sent_at = deployment->core->now,
                                         .receipts = receipts,
                                         .intents = intents};
    bd_core_leadership_acquired(deployment->core, &acquisition);
}

/* Begins a term without jobs. Returns the bytes that were allocated before it, as a follower. */
static size_t begin_empty_term(struct deployment *deployment)
{
    bd_leadership_lost(deployment->core);
    deployment_discard_effects(deployment);
    size_t bytes = allocation_meter_bytes();
    begin_term(deployment, NULL, NULL);
    bd_inventory_machines_received(deployment->core, NULL, 0, deployment->core->now);
    for (uint32_t i = 0; i < deployment->machine_count; i++)
        deployment_heartbeat(deployment, i);
    return bytes;
}

static void add_arrays(struct deployment *deployment)
{
    for (int i = 0; i < arrays; i++)
        deployment_add_job(deployment, i, BD_JOB_ARRAY, TASKS, 2, 0, 4);
}

static void cancel_jobs(struct deployment *deployment, int jobs)
{
    for (int i = 0; i < jobs; i++) {
        char key[BD_LABEL_BYTES];
        snprintf(key, sizeof key, "j/job-%06d", i);
        json_t *value = bd_job_cancelled_record(bd_job_find(deployment->core, key + strlen("j/")));
        struct bd_kv_change change = {key, value, ++deployment->revision};
        bd_replica_apply(deployment->core, &change);
        json_decref(value);
    }
}

/* Receipts in which every other task of each array is done. */
static json_t *half_done_receipts(void)
{
    static char hex[BD_RECEIPT_CHUNK_TASKS / 4 + 1];
    json_t *receipts = json_array();
    memset(hex, '5', sizeof hex - 1);
    for (int i = 0; i < arrays; i++)
        for (uint32_t chunk = 0; chunk * BD_RECEIPT_CHUNK_TASKS < TASKS; chunk++) {
            char key[BD_LABEL_BYTES];
            snprintf(key, sizeof key, "r/job-%06d/%u", i, chunk);
            json_array_append_new(receipts, json_pack("{s:s,s:{s:s},s:I}", "k", key, "value", "b",
                                                      hex, "mark", (json_int_t)1));
        }
    return receipts;
}

/* Reports all tasks of the machine as done. */
static void report_done(struct deployment *deployment, uint32_t number)
{
    struct bd_reported_task reported[TASKS_OF_MACHINE_MAX];
    struct bd_heartbeat heartbeat = {.incarnation = 1,
                                     .seq = ++deployment->heartbeat_seq,
                                     .fencing_token = deployment->core->lead.term,
                                     .notice_s = -1,
                                     .tasks = reported};
    const struct bd_machine *machine = deployment->core->machines_by_index[number];
    memset(reported, 0, sizeof reported);
    snprintf(heartbeat.machine, sizeof heartbeat.machine, "%s", machine->id);
    snprintf(heartbeat.address, sizeof heartbeat.address, "%s", machine->addr);
    snprintf(heartbeat.type, sizeof heartbeat.type, "small");
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "%s", number % 2 ? "a" : "b");
    for (uint32_t i = 0; i < machine->nreservations && i < TASKS_OF_MACHINE_MAX; i++) {
        struct bd_reported_task *task = &reported[heartbeat.task_count++];
        snprintf(task->job, sizeof task->job, "%s", machine->reservations[i].job->id);
        task->task = machine->reservations[i].task->index;
        task->attempt = machine->reservations[i].task->attempt;
        task->execution = BD_EXECUTION_EXITED;
        task->exit_reason = BD_EXIT_DONE;
    }
    bd_worker_heartbeat_received(deployment->core, NULL, &heartbeat, "{}", 2);
    deployment_discard_effects(deployment);
}

/* The replies to the machines' next heartbeats carry the commands instead. */
static void drop_direct_commands(struct deployment *deployment)
{
    struct bd_core *core = deployment->core;
    for (uint32_t i = 0; i < core->nmachines; i++)
        if (core->machines_by_index[i]->direct_in_flight)
            bd_worker_direct_command_completed(core, i, core->lead.term, true, BD_DIRECT_NOT_SENT,
                                               NULL);
}

/* Runs tasks for ROUNDS cycles. Returns the most tasks that were alive at a time. */
static uint32_t run_tasks(struct deployment *deployment)
{
    uint32_t most_live = 0;
    for (int round = 0; round < ROUNDS; round++) {
        deployment_run_cycle(deployment);
        drop_direct_commands(deployment);
        uint32_t live = count_live_tasks(deployment->core);
        most_live = live > most_live ? live : most_live;
        for (uint32_t i = 0; i < deployment->machine_count; i++)
            deployment_heartbeat(deployment, i);
        for (uint32_t i = 0; i < deployment->machine_count; i++)
            report_done(deployment, i);
    }
    return most_live;
}

static uint32_t count_done(const struct bd_core *core)
{
    uint32_t done = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        done += job->ndone;
    return done;
}

/* ---- kinds ---- */

/* Nobody has started a task of these arrays, and each new leader reads that they were cancelled. */
static void test_cancelled(struct deployment *deployment, size_t base)
{
    bd_leadership_lost(deployment->core);
    add_arrays(deployment);
    cancel_jobs(deployment, arrays);
    allocation_meter_reset_peak();
    begin_term(deployment, NULL, NULL);
    check_peak(deployment, "a new leader does not hold the tasks of cancelled arrays", base, 0);
}

/* No task of these arrays fits a machine now. */
static void test_waiting(struct deployment *deployment, size_t base)
{
    allocation_meter_reset_peak();
    add_arrays(deployment);
    check_peak(deployment, "a leader does not hold tasks that wait", base, 0);
    bd_leadership_lost(deployment->core);
    allocation_meter_reset_peak();
    begin_term(deployment, NULL, NULL);
    check_peak(deployment, "a new leader does not hold tasks that wait", base, 0);
    cancel_jobs(deployment, arrays);
    check_peak(deployment, "nor while they are cancelled", base, 0);
}

/* Every other task is done, and some of the others run. */
static void test_half_done(struct deployment *deployment, size_t base)
{
    json_t *intents = json_array();
    bd_leadership_lost(deployment->core);
    add_arrays(deployment);
    size_t before_receipts = allocation_meter_bytes();
    json_t *receipts = half_done_receipts();
    size_t receipt_bytes = allocation_meter_bytes() - before_receipts;
    allocation_meter_reset_peak();
    begin_term(deployment, receipts, intents);
    check_peak(deployment, "a new leader holds bits of half-done arrays", base + receipt_bytes, 0);
    check("half of the tasks are done",
          count_done(deployment->core) == (uint32_t)arrays * TASKS / 2);
    json_decref(receipts);
    json_decref(intents);
}

/* Tasks of the arrays run and end. */
static void test_running(struct deployment *deployment, size_t base)
{
    add_arrays(deployment);
    allocation_meter_reset_peak();
    uint32_t most_live = run_tasks(deployment);
    uint32_t done = count_done(deployment->core);
    printf("     %u tasks done in %d rounds\n", done, ROUNDS);
    check_peak(deployment, "a leader holds the tasks that run, not those that ended", base,
               most_live);
    check("tasks ran in many rounds", done > 10 * most_live && most_live >= MACHINES);
    deployment_run_cycle(deployment);
    uint32_t live = count_live_tasks(deployment->core);
    json_t *receipts = json_array();
    size_t before_intents = allocation_meter_bytes();
    json_t *intents = deployment_intents(deployment);
    size_t intent_bytes = allocation_meter_bytes() - before_intents;
    bd_leadership_lost(deployment->core);
    allocation_meter_reset_peak();
    begin_term(deployment, receipts, intents);
    check_peak(deployment, "a new leader holds the tasks that run", base + intent_bytes, live);
    check("the new leader holds each of them", count_live_tasks(deployment->core) == live);
    json_decref(receipts);
    json_decref(intents);
}

/* All tasks of the arrays are done, and the next leader reads that from the jobs' records. */
static void test_ended(struct deployment *deployment, size_t base)
{
    add_arrays(deployment);
    bd_leadership_lost(deployment->core);
    for (int i = 0; i < arrays; i++) {
        char key[BD_LABEL_BYTES];
        snprintf(key, sizeof key, "j/job-%06d", i);
        struct bd_job_record record = {
            .state = BD_JOB_DONE, .tasks = TASKS, .submitted_at = 1000, .ended_at = 1001};
        snprintf(record.spec.job_class, sizeof record.spec.job_class, "class-0");
        json_t *value = bd_wire_write_job_record(&record);
        struct bd_kv_change change = {key, value, ++deployment->revision};
        bd_replica_apply(deployment->core, &change);
        json_decref(value);
    }
    allocation_meter_reset_peak();
    begin_term(deployment, NULL, NULL);
    check_peak(deployment, "a new leader does not hold the tasks of arrays that ended", base, 0);
}

/* Guards against specifications that are kept for cancelled jobs, whose number alone is bounded. */
static void test_cancelled_jobs(struct deployment *deployment, size_t base)
{
    bd_leadership_lost(deployment->core);
    for (int i = 0; i < CANCELLED_JOBS; i++)
        deployment_add_job(deployment, i, BD_JOB_ARRAY, 1, 2, 0, 4);
    cancel_jobs(deployment, CANCELLED_JOBS);
    double bytes = (double)(allocation_meter_bytes() - base) / CANCELLED_JOBS;
    printf("     %d cancelled jobs: %.0f bytes each, at most %.0f\n", CANCELLED_JOBS, bytes,
           CANCELLED_JOB_BYTES_MAX);
    check("a cancelled job does not keep its specification", bytes <= CANCELLED_JOB_BYTES_MAX);
}

/* Submits a job of one task. Returns the kind of the first effect, which answers or accepts it, and
 * its status if it is a reply. */
static enum bd_effect_kind submit(struct deployment *deployment, int number, int *status)
{
    char body[640];
    snprintf(
        body, sizeof body,
        "{\"id\":\"job-%06d\",\"kin\":\"class-0\",\"household\":\"team-0\",\"shape\":\"sweep\","
        "\"rank\":\"standard\",\"chores\":1,\"vcpus\":2,\"accelerators\":0,\"memGb\":6,"
        "\"seed\":\"img-0-0\",\"imageGb\":2,\"breeds\":null,\"glade\":null,\"together\":false,"
        "\"scatter\":false,\"windfall\":true,\"guessS\":60,\"markS\":0,\"stowS\":0,"
        "\"dueS\":null}",
        number);
    deployment_discard_effects(deployment);
    bd_user_submit(deployment->core, NULL, body, strlen(body));
    struct bd_effect *effect = bd_effects_take(deployment->core);
    enum bd_effect_kind kind = effect ? effect->kind : BD_EFFECT_STEP_DOWN;
    *status = effect && kind == BD_EFFECT_REPLY ? effect->status : 0;
    bd_effect_free(effect);
    return kind;
}

/* Guards against controllers that exceed their memory by the specifications of unfinished jobs. */
static void test_unfinished_jobs(struct deployment *deployment, size_t base)
{
    int status = 0, jobs = 0;
    deployment->settings.ram_mb = UNFINISHED_RAM_MB;
    while (jobs < UNFINISHED_JOBS_MAX && submit(deployment, jobs, &status) == BD_EFFECT_USER_TXN)
        deployment_add_job(deployment, jobs++, BD_JOB_ARRAY, 1, 2, 0, 4);
    double bytes = (double)(allocation_meter_bytes() - base);
    printf("     %d unfinished jobs at %d MB: %.0f bytes, then %d\n", jobs, UNFINISHED_RAM_MB,
           bytes, status);
    check("a job beyond the bound is refused for now", status == 429);
    check("the bound keeps the jobs within half of the memory",
          jobs > 1000 && bytes < UNFINISHED_RAM_MB * 1e6 / 2);
    cancel_jobs(deployment, 1);
    check("a job is accepted once another has ended",
          submit(deployment, jobs, &status) == BD_EFFECT_USER_TXN);
}

int main(int argc, char **argv)
{
    static const struct {
        const char *name;
        void (*run)(struct deployment *deployment, size_t base);
    } kinds[] = {{"cancelled", test_cancelled},
                 {"waiting", test_waiting},
                 {"half-done", test_half_done},
                 {"running", test_running},
                 {"ended", test_ended},
                 {"cancelled-jobs", test_cancelled_jobs},
                 {"unfinished-jobs", test_unfinished_jobs}};
    struct deployment deployment = {
        .log = {BD_LOG_ERROR, "large-arrays"}, .machine_count = MACHINES, .is_cpu_only = true};
    int ran = 0;
    if (argc == 3)
        arrays = parse_number(argv[2]);
    allocation_meter_install();
    deployment_build(&deployment);
    size_t base = begin_empty_term(&deployment);
    for (size_t i = 0; argc >= 2 && i < sizeof kinds / sizeof kinds[0]; i++) {
        if (strcmp(argv[1], kinds[i].name) != 0)
            continue;
        kinds[i].run(&deployment, base);
        ran++;
    }
    bd_core_free(deployment.core);
    if (ran == 0)
        return 2;
    return failures ? 1 : 0;
}
