/* Job ids and task names, submissions, and the replies to users. */
#include "wire/wire_jobs.h"
#include "wire/wire_internal.h"
#include "wire/wire_limits.h"
#include "wire/wire_names.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOB_PREFIX "job-"
#define JOB_DIGITS_MAX 18
#define TASK_DIGITS_MAX 6
#define DIGITS "0123456789"
#define SUBMISSION_DEPTH 2 /* an object with lists */
#define REPLY_BYTES 160    /* fits a job id, a state name and two numbers */

bool bd_wire_is_job_id(const char *id)
{
    const size_t prefix_len = sizeof JOB_PREFIX - 1;
    if (!id || strncmp(id, JOB_PREFIX, prefix_len) != 0)
        return false;
    size_t digits = strspn(id + prefix_len, DIGITS);
    return digits >= 1 && digits <= JOB_DIGITS_MAX && id[prefix_len + digits] == '\0';
}

bool bd_wire_read_task_name(const char *text, char job[BD_JOB_ID_BYTES], uint32_t *task)
{
    const char *slash = text ? strchr(text, '/') : NULL;
    if (!slash || (size_t)(slash - text) >= BD_JOB_ID_BYTES)
        return false;
    memcpy(job, text, (size_t)(slash - text));
    job[slash - text] = '\0';
    const char *index = slash + 1;
    size_t digits = strspn(index, DIGITS);
    if (!bd_wire_is_job_id(job) || digits == 0 || digits > TASK_DIGITS_MAX || index[digits])
        return false;
    *task = (uint32_t)strtoul(index, NULL, 10);
    return *task < BD_TASKS_MAX;
}

json_t *bd_wire_parse_submission(const char *text, size_t len, struct bd_json_error *error)
{
    static const char *const fields[] = {KEY_ID,
                                         KEY_JOB_CLASS,
                                         KEY_TEAM,
                                         KEY_JOB_KIND,
                                         KEY_PRIORITY,
                                         KEY_TASK_COUNT,
                                         KEY_CPUS,
                                         KEY_GPUS,
                                         KEY_MEMORY_GB,
                                         KEY_IMAGE,
                                         KEY_IMAGE_GB,
                                         KEY_MACHINE_TYPES,
                                         KEY_ZONE,
                                         KEY_SAME_ZONE,
                                         KEY_SPREAD_ZONES,
                                         KEY_SPOT,
                                         KEY_ESTIMATE_S,
                                         KEY_CHECKPOINT_INTERVAL_S,
                                         KEY_CHECKPOINT_SAVE_S,
                                         KEY_DEADLINE_S,
                                         KEY_PARENTS};
    static const struct bd_json_message submission = {.members = fields,
                                                      .member_count = COUNT_OF(fields),
                                                      .depth_max = SUBMISSION_DEPTH,
                                                      .refuses_duplicates = true};
    return bd_json_read(text, len, &submission, error);
}

const char *bd_wire_read_submission(json_t *body, char id[BD_JOB_ID_BYTES],
                                    struct bd_job_spec_text *out)
{
    id[0] = '\0';
    if (!json_is_object(body))
        return "body";
    const char *text = json_string_value(json_object_get(body, KEY_ID));
    if (!bd_wire_is_job_id(text))
        return KEY_ID;
    strcpy(id, text);
    return bd_wire_read_job_spec(body, out);
}

/* Returns a new array of the distinct job ids in the list. NULL: one of them is malformed. */
static json_t *read_distinct_ids(json_t *list)
{
    json_t *seen = json_object(), *ids = json_array(), *entry;
    size_t i;
    json_array_foreach(list, i, entry)
    {
        const char *id = json_string_value(entry);
        if (!bd_wire_is_job_id(id)) {
            json_decref(ids);
            ids = NULL;
            break;
        }
        if (json_object_get(seen, id))
            continue;
        json_object_set_new(seen, id, json_true());
        json_array_append(ids, entry);
    }
    json_decref(seen);
    return ids;
}

bool bd_wire_read_parents(json_t *body, json_t **out)
{
    json_t *list = json_object_get(body, KEY_PARENTS);
    *out = NULL;
    if (bd_wire_is_missing_or_null(list))
        return true;
    if (!json_is_array(list))
        return false;
    json_t *ids = read_distinct_ids(list);
    if (!ids)
        return false;
    if (json_array_size(ids) > 0)
        *out = ids;
    else
        json_decref(ids);
    return true;
}

char *bd_wire_write_accepted(const char *id)
{
    char reply[REPLY_BYTES];
    snprintf(reply, sizeof reply, "{\"" KEY_ID "\":\"%s\",\"" KEY_STATE "\":\"pending\"}", id);
    return strdup(reply);
}

char *bd_wire_write_job_state(const char *id, const char *state, uint32_t done, uint32_t running)
{
    char reply[REPLY_BYTES];
    snprintf(reply, sizeof reply,
             "{\"" KEY_ID "\":\"%s\",\"" KEY_STATE "\":\"%s\",\"" KEY_DONE_COUNT
             "\":%u,\"" KEY_RUNNING_COUNT "\":%u}",
             id, state, done, running);
    return strdup(reply);
}
