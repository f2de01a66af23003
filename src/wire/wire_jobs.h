/* Jobs in the protocols: submissions of users, the replies to them, and the jobs' records in the
 * key-value store. Admission, the replica and the dependency graph (jobs/) call it. See wire.h for
 * units and ownership.
 */
#ifndef BD_WIRE_JOBS_H
#define BD_WIRE_JOBS_H
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_job_kind {
    BD_JOB_ARRAY,  /* independent tasks */
    BD_JOB_GANG,   /* tasks that run only together */
    BD_JOB_SERVICE /* replicas that run until the job is cancelled */
};
/* from the least to the most important */
enum bd_priority {
    BD_PRIORITY_IDLE,
    BD_PRIORITY_STANDARD,
    BD_PRIORITY_HIGH,
    BD_PRIORITY_PRODUCTION
};

/* A job as its user wrote it, names not yet looked up. Amounts are per task. */
struct bd_job_spec_text {
    char job_class[BD_LABEL_BYTES]; /* jobs of a class behave alike: run times, service-level
                                       objectives */
    char team[BD_LABEL_BYTES];
    char image[BD_LABEL_BYTES];
    char zone[BD_LABEL_BYTES]; /* empty: any */
    char types[BD_TYPES_MAX][BD_LABEL_BYTES];
    int type_count; /* machine types it may run on; -1: any */
    enum bd_job_kind kind;
    enum bd_priority priority;
    uint32_t tasks;               /* 1 to BD_TASKS_MAX */
    double cpus;                  /* cores */
    double gpus;                  /* devices */
    double mem_gb;                /* GB */
    double image_gb;              /* GB */
    double estimate_s;            /* run time that the user expects, seconds */
    double checkpoint_interval_s; /* progress between two checkpoints; 0: it makes none */
    double checkpoint_save_s;     /* that a checkpoint takes when the task is stopped */
    double deadline_s;            /* from submission to the end that is wanted; < 0: none */
    bool same_zone;               /* all tasks in one zone */
    bool spread_zones;            /* tasks spread over zones (anti-affinity) */
    bool spot;                    /* may run on spot machines */
};

enum bd_job_state {
    BD_JOB_ACTIVE, /* accepted, and neither of those below */
    BD_JOB_DONE,
    BD_JOB_CANCELLED
};

/* A job's parents: the ids of the jobs that it waits for. They stand in its record or, where one
 * value cannot hold them, in parts: keys of their own that are written before the record. */
struct bd_job_record_parents {
    json_t *names;                  /* list of ids, borrowed; NULL: none in the record */
    uint32_t part_count;            /* number of parts; 0: none */
    char parts_hash[BD_HASH_BYTES]; /* hash of the whole list, which names the parts' keys */
    bool is_unreadable;             /* what the record says of its parents cannot be read */
};

/* A job's record in the key-value store. */
struct bd_job_record {
    enum bd_job_state state;
    uint32_t tasks;
    double submitted_at; /* of the submission, time of day, seconds since the epoch */
    double ended_at;     /* done: of its last task's end, likewise; 0: not known */
    bool has_spec;       /* else `spec` holds the job's class only, if that */
    struct bd_job_spec_text spec;
    struct bd_job_record_parents parents;
};

/* Whether the text is a job's id: "job-" and 1 to 18 digits. NULL is none. */
bool bd_wire_is_job_id(const char *id);
/* Reads a task's name, "JOB/INDEX". False: malformed; `job` may have been overwritten. */
bool bd_wire_read_task_name(const char *text, char job[BD_JOB_ID_BYTES], uint32_t *task);

/* Reads a submission. `id` gets the job's id as soon as that was read, else it is empty. NULL, or
 * the name of the field at fault, a constant. */
const char *bd_wire_read_submission(json_t *body, char id[BD_JOB_ID_BYTES],
                                    struct bd_job_spec_text *out);
/* Reads the parents of a submission. `out` gets a new list of their ids, each once, or NULL if
 * there are none. False: malformed or out of memory, and `out` is NULL. */
bool bd_wire_read_parents(json_t *body, json_t **out);

/* The value of a part that holds these parents; `names` is consumed. NULL: out of memory. */
json_t *bd_wire_write_parents_part(json_t *names);
/* The parents in a part's value, borrowed. NULL: malformed. */
json_t *bd_wire_read_parents_part(json_t *value);

/* A copy of a job's spec in its record, made as short as it can still be read, for a job that is
 * cancelled. NULL: out of memory. */
json_t *bd_wire_write_cancelled_spec(json_t *spec);
/* The value of a job's record. NULL: out of memory. */
json_t *bd_wire_write_job_record(const struct bd_job_record *record);
/* Reads a job's record; `out->parents.names` lives as long as `value`. False: malformed, or a job
 * that is not done has no spec. */
bool bd_wire_read_job_record(json_t *value, struct bd_job_record *out);

/* The reply to a submission that was accepted. */
char *bd_wire_write_accepted(const char *id);
/* The reply to a question for a job's state: its name in the protocol, a constant of the caller,
 * and the numbers of completed and of running tasks. */
char *bd_wire_write_job_state(const char *id, const char *state, uint32_t done, uint32_t running);
#endif
