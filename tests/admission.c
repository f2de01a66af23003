/* Tests the transactions that accept a job with many dependencies, for limits of the store from
 * very small to far above the size of a request. They must end, respect the limits, and name every
 * parent, or the job must be refused. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "jobs/jobs_internal.h"
#include "model/core_state.h"
#include "test_settings.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUEST_BYTES_MAX 65536u /* of the store, and of a user's submission */
#define PARENTS_MAX 3000u        /* as many names as fit into a submission */
#define TIME_LIMIT_S 60          /* a loop without end is stopped by a signal */

static const size_t value_limits[] = {100,   300,   512,   700,   2000,  8192,  30000,  45000,
                                      49152, 49999, 50000, 50001, 56000, 65536, 100000, 1000000};
static const size_t txn_limits[] = {2, 3, 24, 1000};
static const size_t parent_counts[] = {1, 2, 30, 500, 2000, 2400, 2900, PARENTS_MAX};

/* One acceptance under test, and what its transactions showed so far. */
struct acceptance {
    size_t value_bytes_max, txn_ops_max, parents;
    json_t *names;       /* of the parents, as the records hold them */
    bool has_job_record; /* the latest transaction wrote it */
};

static int failures;

static void fail(const struct acceptance *acceptance, const char *what)
{
    failures++;
    printf("FAIL values of %zu bytes, %zu changes, %zu parents: %s\n", acceptance->value_bytes_max,
           acceptance->txn_ops_max, acceptance->parents, what);
}

static void check_operation(struct acceptance *acceptance, json_t *operation)
{
    json_t *value = json_object_get(operation, "value");
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    if (!text || strlen(text) > acceptance->value_bytes_max)
        fail(acceptance, "a value exceeds the limit");
    free(text);
    struct bd_job_record record;
    acceptance->has_job_record = bd_wire_read_job_record(value, &record);
    json_t *names =
        acceptance->has_job_record ? record.parents.ids : bd_wire_read_parents_part(value);
    if (names)
        json_array_extend(acceptance->names, names);
}

static void check_txn(struct acceptance *acceptance, const char *line)
{
    json_t *txn = json_loads(line, 0, NULL), *operations = json_object_get(txn, "apply"), *item;
    size_t i;
    if (strlen(line) > REQUEST_BYTES_MAX)
        fail(acceptance, "a request is too large");
    if (json_array_size(json_object_get(txn, "if")) == 0)
        fail(acceptance, "a transaction has no condition");
    if (json_array_size(operations) == 0 || json_array_size(operations) > acceptance->txn_ops_max)
        fail(acceptance, "a transaction has no change, or too many");
    acceptance->has_job_record = false;
    json_array_foreach(operations, i, item)
    {
        check_operation(acceptance, item);
    }
    json_decref(txn);
}

/* Guards against a loop without end, and against records that no request can carry. */
static void check_acceptance(struct acceptance *acceptance, char *lines, json_t *parents)
{
    acceptance->names = json_array();
    for (char *rest = NULL, *line = strtok_r(lines, "\n", &rest); line;
         line = strtok_r(NULL, "\n", &rest))
        check_txn(acceptance, line);
    if (!acceptance->has_job_record)
        fail(acceptance, "the last transaction does not write the job's record");
    if (!json_equal(acceptance->names, parents))
        fail(acceptance, "the records do not name all parents in order");
    json_decref(acceptance->names);
}

static json_t *make_parents(size_t count)
{
    json_t *parents = json_array();
    for (size_t i = 0; i < count; i++) {
        char name[BD_JOB_ID_BYTES];
        snprintf(name, sizeof name, "job-%015zu", i);
        json_array_append_new(parents, json_string(name));
    }
    return parents;
}

/* Returns whether the job was accepted. */
static bool try_acceptance(struct bd_core *core, struct acceptance *acceptance)
{
    struct bd_admission admission = {
        .id = "job-1", .record = {.state = BD_JOB_ACTIVE, .has_spec = true, .tasks = 1}};
    snprintf(admission.record.spec.job_class, BD_NAME_BYTES, "class");
    snprintf(admission.record.spec.team, BD_NAME_BYTES, "team");
    snprintf(admission.record.spec.image, sizeof admission.record.spec.image, "image");
    admission.record.spec.type_count = -1;
    admission.record.spec.tasks = 1;
    admission.record.spec.cpus = admission.record.spec.mem_gb = 1;
    admission.record.spec.deadline_s = -1;
    admission.parents = make_parents(acceptance->parents);
    char *lines = bd_admission_txns(core, &admission);
    if (lines)
        check_acceptance(acceptance, lines, admission.parents);
    bool is_accepted = lines != NULL;
    free(lines);
    json_decref(admission.parents);
    return is_accepted;
}

/* Each job that a submission can hold is accepted if a value holds 8 KB or more. */
static void check_limits(size_t value_bytes_max, size_t txn_ops_max)
{
    static struct bd_settings settings;
    static const struct bd_log log = {BD_LOG_ERROR, "admission"};
    const size_t accepted_value_bytes = 8192;
    test_settings_init(&settings);
    settings.kv_value_bytes_max = value_bytes_max;
    settings.kv_txn_ops_max = txn_ops_max;
    struct bd_core *core = bd_core_new(&settings, &log);
    if (!core)
        abort();
    for (size_t i = 0; i < sizeof parent_counts / sizeof *parent_counts; i++) {
        struct acceptance acceptance = {.value_bytes_max = value_bytes_max,
                                        .txn_ops_max = txn_ops_max,
                                        .parents = parent_counts[i]};
        if (!try_acceptance(core, &acceptance) && value_bytes_max >= accepted_value_bytes)
            fail(&acceptance, "the job is refused");
    }
    bd_core_free(core);
}

int main(void)
{
    (void)alarm(TIME_LIMIT_S);
    for (size_t i = 0; i < sizeof value_limits / sizeof *value_limits; i++)
        for (size_t k = 0; k < sizeof txn_limits / sizeof *txn_limits; k++)
            check_limits(value_limits[i], txn_limits[k]);
    printf("%d failed checks\n", failures);
    return failures ? 1 : 0;
}
