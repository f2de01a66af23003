/* One large graph: a long chain, and many jobs that need its first job. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "graphs.h"
#include "jobs/jobs.h"
#include "test_settings.h"
#include "wire/wire.h"
#include <stdio.h>
#include <string.h>

#define CHAIN_JOBS 30000

static void add_record(struct bd_core *core, int number, const char *state, int parent,
                       uint64_t revision)
{
    char key[64], name[32];
    struct bd_job_record record = {
        .state = BD_JOB_ACTIVE, .tasks = 1, .submitted_at = 1000, .has_spec = true};
    json_t *names = json_array();
    snprintf(key, sizeof key, "j/job-%d", number);
    snprintf(name, sizeof name, "job-%d", parent);
    if (parent >= 0)
        json_array_append_new(names, json_string(name));
    snprintf(record.spec.job_class, BD_LABEL_BYTES, "k");
    snprintf(record.spec.team, BD_LABEL_BYTES, "a");
    snprintf(record.spec.image, BD_LABEL_BYTES, "i");
    record.spec.type_count = -1;
    record.spec.deadline_s = -1;
    record.spec.cpus = 1;
    record.spec.tasks = 1;
    record.spec.priority = number == CHAIN_JOBS - 1 ? BD_PRIORITY_HIGH : BD_PRIORITY_IDLE;
    record.parents.ids = names;
    record.state = strcmp(state, "cancelled") == 0 ? BD_JOB_CANCELLED : BD_JOB_ACTIVE;
    json_t *value = bd_wire_write_job_record(&record);
    struct bd_kv_change change = {key, value, revision};
    bd_replica_apply(core, &change);
    json_decref(value);
    json_decref(names);
}

static struct bd_job *find_job(struct bd_core *core, int number)
{
    struct bd_job *job = NULL;
    char id[32];
    snprintf(id, sizeof id, "job-%d", number);
    HASH_FIND_STR(core->jobs, id, job);
    return job;
}

/* A chain whose records are read from its end, and as many jobs that need its first job. Priorities
 * must propagate back along the chain, and cancelling the first job must cancel all others, without
 * recursion and in linear time. */
int graph_check_large(void)
{
    struct bd_settings settings = {0};
    struct bd_log log = {BD_LOG_ERROR, "graphs"};
    int violations = 0;
    graph_init_settings(&settings, 0);
    struct bd_core *core = bd_core_new(&settings, &log);
    bd_core_set_clock(core, bd_secs(100), 1000);
    for (int n = CHAIN_JOBS - 1; n >= 0; n--)
        add_record(core, n, "live", n - 1, 1);
    for (int n = 1; n < CHAIN_JOBS; n++)
        add_record(core, CHAIN_JOBS + n, "live", 0, 1);
    bd_dag_update_priorities(core);
    violations +=
        find_job(core, 0)->priority != BD_PRIORITY_HIGH || find_job(core, 1)->nopen_parents != 1;
    add_record(core, 0, "cancelled", -1, 2);
    for (int n = 0; n < 2 * CHAIN_JOBS; n++)
        violations += n != CHAIN_JOBS && find_job(core, n)->state != BD_JOB_CANCELLED;
    violations +=
        core->graph.parents != NULL || core->graph.nunrecorded_cancellations != 2 * CHAIN_JOBS - 2;
    bd_core_free(core);
    if (violations)
        fprintf(stderr, "a large graph: %d violations\n", violations);
    return violations;
}
