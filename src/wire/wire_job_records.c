/* Job records in the key-value store, and the parts that long lists of parents are split into. */
#include "wire/wire_internal.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_names.h"
#include <string.h>

/* Indexed by enum bd_job_state. */
static const char *const job_states[] = {"live", "done", "cancelled"};

json_t *bd_wire_write_parents_part(json_t *ids)
{
    return json_pack("{s:o}", KEY_PARENTS, ids);
}

json_t *bd_wire_read_parents_part(json_t *value)
{
    json_t *ids = json_object_get(value, KEY_PARENTS);
    return json_is_array(ids) ? ids : NULL;
}

json_t *bd_wire_write_cancelled_spec(json_t *spec)
{
    json_t *copy = json_copy(spec);
    if (copy)
        json_object_set_new(copy, KEY_MACHINE_TYPES, json_null());
    return copy;
}

static void write_parents(json_t *object, const struct bd_job_record_parents *parents)
{
    if (parents->part_count) {
        json_t *parts = json_pack("{s:s,s:i}", KEY_PARTS_HASH, parents->parts_hash, KEY_PARTS_COUNT,
                                  (int)parents->part_count);
        json_object_set_new(object, KEY_RECORD_PARTS, parts);
    } else if (parents->ids) {
        json_object_set(object, KEY_PARENTS, parents->ids);
    }
}

json_t *bd_wire_write_job_record(const struct bd_job_record *record)
{
    json_t *value = json_pack("{s:s,s:i,s:f}", KEY_RECORD_STATE, job_states[record->state],
                              KEY_RECORD_TASK_COUNT, (int)record->tasks, KEY_RECORD_SUBMITTED_AT,
                              record->submitted_at);
    if (!value)
        return NULL;
    if (record->has_spec)
        json_object_set_new(value, KEY_RECORD_SPEC, bd_wire_write_job_spec(&record->spec));
    else if (*record->spec.job_class) /* the arrival rate of the job class is computed from it */
        json_object_set_new(value, KEY_RECORD_JOB_CLASS, json_string(record->spec.job_class));
    write_parents(value, &record->parents);
    if (record->ended_at > 0)
        json_object_set_new(value, KEY_RECORD_ENDED_AT, json_real(record->ended_at));
    return value;
}

static void read_parents(json_t *value, struct bd_job_record_parents *out)
{
    json_t *ids = json_object_get(value, KEY_PARENTS);
    json_t *parts = json_object_get(value, KEY_RECORD_PARTS);
    const char *hash = json_string_value(json_object_get(parts, KEY_PARTS_HASH));
    uint64_t count = 0;
    if (ids && !json_is_array(ids))
        out->is_unreadable = true;
    else
        out->ids = ids;
    if (!parts)
        return;
    if (!hash || strlen(hash) >= BD_HASH_BYTES ||
        !bd_wire_read_unsigned(parts, KEY_PARTS_COUNT, &count) || count < 1 ||
        count > BD_PARENT_PARTS_MAX) {
        out->is_unreadable = true;
        return;
    }
    strcpy(out->parts_hash, hash);
    out->part_count = (uint32_t)count;
}

bool bd_wire_read_job_record(json_t *value, struct bd_job_record *out)
{
    uint64_t tasks = 0;
    memset(out, 0, sizeof *out);
    int state = bd_wire_read_enum(value, KEY_RECORD_STATE, job_states, COUNT_OF(job_states));
    if (state < 0 || !bd_wire_read_unsigned(value, KEY_RECORD_TASK_COUNT, &tasks) || tasks < 1 ||
        tasks > BD_TASKS_MAX)
        return false;
    out->state = (enum bd_job_state)state;
    out->tasks = (uint32_t)tasks;
    out->submitted_at = json_number_value(json_object_get(value, KEY_RECORD_SUBMITTED_AT));
    out->ended_at = json_number_value(json_object_get(value, KEY_RECORD_ENDED_AT));
    read_parents(value, &out->parents);
    json_t *spec = json_object_get(value, KEY_RECORD_SPEC);
    out->has_spec = json_is_object(spec) && bd_wire_read_job_spec(spec, &out->spec) == NULL;
    if (!out->has_spec && !bd_wire_read_label(value, KEY_RECORD_JOB_CLASS, out->spec.job_class))
        out->spec.job_class[0] = '\0';
    return out->has_spec || out->state == BD_JOB_DONE;
}
