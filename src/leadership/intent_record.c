/* Intent records: the launches that a term has committed. A new leader reads them to know which
 * tasks may be running on which machines. Part of the pure core. */
#include "base/json_number.h"
#include "leadership/commit.h"
#include "leadership/leadership_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/kv_limits.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_table.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GROUP_SYNTAX_BYTES 36u /* brackets, quotes, and the digits of the attempt number */
#define INTENT_RECORDS_INITIAL_CAPACITY 64u

size_t bd_intent_group_bytes(const struct bd_job *job, const struct bd_machine *machine)
{
    return strlen(job->id) + strlen(machine->id) + GROUP_SYNTAX_BYTES;
}

/* ---- the record's value: {"e": [[job, attempt, machine, [task, ...]], ...]} ---- */

static bool is_same_group(const struct bd_intent *a, const struct bd_intent *b)
{
    return a->job == b->job && a->machine == b->machine && a->attempt == b->attempt;
}

/* Appends the group that starts with the first intent, with as many of its tasks as fit. Returns
 * the number of tasks appended. */
static uint32_t append_group(struct bd_core *core, json_t *groups, const struct bd_intent *intents,
                             uint32_t max_tasks, double *bytes_left)
{
    const struct bd_machine *machine = bd_machine_by_index(core, intents->machine);
    json_t *tasks = json_array();
    uint32_t count = 0;
    *bytes_left -=
        (double)(machine ? bd_intent_group_bytes(intents->job, machine) : BD_LABEL_BYTES);
    while (count < max_tasks && is_same_group(&intents[count], intents) &&
           *bytes_left >= BD_INTENT_TASK_NUMBER_BYTES) {
        json_array_append_new(tasks, json_integer(intents[count].task));
        *bytes_left -= BD_INTENT_TASK_NUMBER_BYTES;
        count++;
    }
    if (count == 0) {
        json_decref(tasks);
        return 0;
    }
    json_array_append_new(groups,
                          json_pack("[s,I,s,o]", intents->job->id, (json_int_t)intents->attempt,
                                    machine ? machine->id : "?", tasks));
    return count;
}

json_t *bd_intent_record_value(struct bd_core *core, const struct bd_intent *intents,
                               uint32_t *count)
{
    json_t *groups = json_array();
    double bytes_left = BD_VALUE_SHARE * (double)core->kv_limits.kv_value_bytes_max;
    uint32_t written = 0, appended = 1;
    while (written < *count && appended > 0) {
        appended = append_group(core, groups, intents + written, *count - written, &bytes_left);
        written += appended;
    }
    *count = written;
    return json_pack("{s:o}", "e", groups);
}

/* ---- records of earlier terms ---- */

struct intent_list {
    struct bd_intent *items;
    uint32_t count;
};

/* An empty list with capacity for all tasks of the record's groups. */
static struct intent_list new_intent_list(json_t *groups)
{
    size_t capacity = 0, i;
    json_t *group;
    json_array_foreach(groups, i, group)
    {
        capacity += json_array_size(json_array_get(group, 3));
    }
    struct intent_list list = {.items = malloc((capacity + 1) * sizeof *list.items)};
    if (!list.items)
        abort();
    return list;
}

/* Sets the attempt of a task that is not done, if it is newer than the known one. */
static void raise_attempt(struct bd_job *job, uint32_t index, uint64_t attempt)
{
    struct bd_task *task = bd_job_task_record(job, index);
    if (!task && bd_task_table_is_done(job->tasks, index))
        return;
    if (!task)
        task = bd_task_table_add(job->tasks, index);
    if (!task)
        abort(); /* without the attempt, the task would be started a second time */
    if (attempt > task->attempt)
        task->attempt = attempt;
}

static void load_group(struct bd_core *core, json_t *group, struct intent_list *list)
{
    const char *id = json_string_value(json_array_get(group, 0));
    struct bd_job *job = bd_job_find(core, id ? id : "");
    uint64_t attempt = 0;
    const char *machine_id = json_string_value(json_array_get(group, 2));
    json_t *task_numbers = json_array_get(group, 3), *task_number;
    size_t i;
    if (!bd_json_read_unsigned(json_array_get(group, 1), &attempt) || !job || !job->tasks ||
        !machine_id)
        return;
    const struct bd_machine *machine = bd_machine_find_or_add(core, machine_id);
    json_array_foreach(task_numbers, i, task_number)
    {
        uint64_t task;
        if (!bd_json_read_unsigned(task_number, &task) || task >= job->ntasks)
            continue;
        list->items[list->count++] =
            (struct bd_intent){job, (uint32_t)task, machine->index, attempt};
        raise_attempt(job, (uint32_t)task, attempt);
    }
}

void bd_intent_record_load(struct bd_core *core, const char *key, json_t *value)
{
    json_t *groups = json_object_get(value, "e"), *group;
    struct intent_list list = new_intent_list(groups);
    size_t i;
    json_array_foreach(groups, i, group)
    {
        load_group(core, group, &list);
    }
    bd_intent_record_add(core, key, list.items, list.count);
}

/* ---- the term's committed records ---- */

static void reserve_one_record(struct bd_leadership *lead)
{
    if (lead->nintent_records < lead->intent_records_cap)
        return;
    uint32_t capacity =
        lead->intent_records_cap ? lead->intent_records_cap * 2 : INTENT_RECORDS_INITIAL_CAPACITY;
    struct bd_intent_record *grown = realloc(lead->intent_records, capacity * sizeof *grown);
    if (!grown)
        abort();
    lead->intent_records = grown;
    lead->intent_records_cap = capacity;
}

void bd_intent_record_add(struct bd_core *core, const char *key, struct bd_intent *intents,
                          uint32_t count)
{
    reserve_one_record(&core->lead);
    struct bd_intent_record *record = &core->lead.intent_records[core->lead.nintent_records++];
    memset(record, 0, sizeof *record);
    snprintf(record->key, sizeof record->key, "%s", key);
    record->intents = intents;
    record->nintents = count;
}

void bd_intent_record_remove(struct bd_core *core, const char *key)
{
    struct bd_leadership *lead = &core->lead;
    for (uint32_t i = 0; i < lead->nintent_records; i++) {
        if (strcmp(lead->intent_records[i].key, key) != 0)
            continue;
        free(lead->intent_records[i].intents);
        lead->intent_records[i] = lead->intent_records[--lead->nintent_records];
        return;
    }
}

bool bd_intent_record_is_needed(const struct bd_intent_record *record)
{
    for (uint32_t i = 0; i < record->nintents; i++) {
        const struct bd_intent *intent = &record->intents[i];
        if (!intent->job->tasks)
            continue;
        const struct bd_task *task = bd_job_task(intent->job, intent->task);
        if (task->attempt == intent->attempt && task->machine == intent->machine)
            return true;
    }
    return false;
}

void bd_intent_records_free(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->lead.nintent_records; i++)
        free(core->lead.intent_records[i].intents);
    free(core->lead.intent_records);
    core->lead.intent_records = NULL;
    core->lead.nintent_records = core->lead.intent_records_cap = 0;
}
