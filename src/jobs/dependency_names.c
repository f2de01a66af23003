/* Reads a job's list of parents from its record or, if the names do not fit into one value, from
 * parts (j/JOB/HASH/NUMBER). Parts are committed before the record that states their hash and
 * count, but may be read before or after it. Parts are kept until the record and all parts have
 * been read. */
#include "brambledoor/log.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct bd_parents_part *find_part(const struct bd_core *core, const char *key)
{
    struct bd_parents_part *part = NULL;
    HASH_FIND_STR(core->graph.parts, key, part);
    return part;
}

static struct bd_parents_part *find_part_of(const struct bd_core *core, const struct bd_job *job,
                                            uint32_t number)
{
    char key[BD_LABEL_BYTES + BD_HASH_BYTES];
    snprintf(key, sizeof key, "%s/%s/%u", job->id, job->parent_parts_hash, number);
    return find_part(core, key);
}

static void add_part(struct bd_core *core, const char *key, const json_t *names)
{
    struct bd_parents_part *part = calloc(1, sizeof *part);
    if (!part)
        abort();
    snprintf(part->key, sizeof part->key, "%s", key);
    part->names = json_deep_copy(names);
    HASH_ADD_STR(core->graph.parts, key, part);
}

static void remove_part(struct bd_core *core, struct bd_parents_part *part)
{
    HASH_DEL(core->graph.parts, part);
    json_decref(part->names);
    free(part);
}

static bool has_all_parts(const struct bd_core *core, const struct bd_job *job)
{
    for (uint32_t i = 0; i < job->parent_parts; i++)
        if (!find_part_of(core, job, i))
            return false;
    return true;
}

/* If all parts have been read, adds the parents in them to the graph and frees the parts. */
static void join_parts_if_complete(struct bd_core *core, struct bd_job *job)
{
    if (!has_all_parts(core, job))
        return;
    json_t *names = json_array();
    for (uint32_t i = 0; i < job->parent_parts; i++) {
        struct bd_parents_part *part = find_part_of(core, job, i);
        (void)json_array_extend(names, part->names);
        remove_part(core, part);
    }
    job->parent_parts = 0;
    bd_dag_add_parents(core, job, names);
    json_decref(names);
}

void bd_dag_parents_part_loaded(struct bd_core *core, const char *key, json_t *value)
{
    char id[BD_JOB_ID_BYTES];
    json_t *names = bd_wire_read_parents_part(value);
    size_t id_len = strcspn(key, "/");
    if (!names || id_len >= sizeof id || strlen(key) >= BD_LABEL_BYTES) {
        bd_log_write(core->log, BD_LOG_ERROR, "record j/%s is malformed, ignored", key);
        return;
    }
    snprintf(id, sizeof id, "%.*s", (int)id_len, key);
    struct bd_job *job = bd_job_find(core, id);
    /* the list is complete, or the job is final */
    bool is_part_obsolete = job && !job->parent_parts;
    if (is_part_obsolete)
        return;
    if (!find_part(core, key))
        add_part(core, key, names);
    if (job)
        join_parts_if_complete(core, job);
}

void bd_dag_record_loaded(struct bd_core *core, struct bd_job *job,
                          const struct bd_job_record_parents *parents)
{
    bool has_names = json_array_size(parents->ids) > 0;
    job->has_had_parents = parents->is_unreadable || parents->part_count || has_names;
    if (parents->is_unreadable) {
        bd_log_write(core->log, BD_LOG_ERROR,
                     "job %s is not started: its list of parents is malformed", job->id);
        job->nopen_parents = 1;
    } else if (parents->part_count) {
        job->parent_parts = parents->part_count;
        job->nopen_parents = 1; /* keeps the job from being ready until all parts are read */
        snprintf(job->parent_parts_hash, sizeof job->parent_parts_hash, "%s", parents->parts_hash);
        join_parts_if_complete(core, job);
    } else if (has_names) {
        bd_dag_add_parents(core, job, parents->ids);
    }
}

void bd_dag_parents_parts_free(struct bd_core *core)
{
    struct bd_parents_part *part, *next;
    HASH_ITER(hh, core->graph.parts, part, next)
    {
        remove_part(core, part);
    }
}
