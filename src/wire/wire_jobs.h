/* Jobs in the protocols: submissions by users, the replies to users, and job records in the
 * key-value store. Used by admission, the replica and the dependency graph (jobs/). See wire.h for
 * units and ownership.
 */
#ifndef BD_WIRE_JOBS_H
#define BD_WIRE_JOBS_H
#include "base/json_reader.h"
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_job_kind {
    BD_JOB_ARRAY,  /* independent tasks */
    BD_JOB_GANG,   /* tasks that must run at the same time */
    BD_JOB_SERVICE /* replicas that run until the job is cancelled */
};
/* From the lowest to the highest priority. */
enum bd_priority {
    BD_PRIORITY_IDLE,
    BD_PRIORITY_STANDARD,
    BD_PRIORITY_HIGH,
    BD_PRIORITY_PRODUCTION
};

/* A job spec as submitted, with names not yet resolved to indices; long ones are shortened, see
 * bd_wire_shorten_name. Resources are per task. */
struct bd_job_spec_text {
    char job_class[BD_LABEL_BYTES]; /* jobs of a class have similar run times and the same
                                       service-level objectives */
    char team[BD_LABEL_BYTES];
    char image[BD_LABEL_BYTES];
    char zone[BD_LABEL_BYTES]; /* required zone; empty: any */
    char types[BD_TYPES_MAX][BD_LABEL_BYTES];
    int type_count;      /* entries of `types`, the allowed machine types; -1: any type */
    bool has_more_types; /* more types are allowed than fit into `types` */
    enum bd_job_kind kind;
    enum bd_priority priority;
    uint32_t tasks; /* 1 to BD_TASKS_MAX */
    double cpus;    /* cores */
    double gpus;    /* devices */
    double mem_gb;
    double image_gb;
    double estimate_s;            /* run time of a task expected by the user */
    double checkpoint_interval_s; /* run time between checkpoints; 0: no checkpoints */
    double checkpoint_save_s;     /* time to save a checkpoint when the task is stopped */
    double deadline_s;            /* from the submission to the requested end; < 0: none */
    bool same_zone;               /* all tasks must run in one zone */
    bool spread_zones;            /* zone anti-affinity between the tasks */
    bool spot;                    /* spot machines are allowed */
};

enum bd_job_state {
    BD_JOB_ACTIVE, /* accepted, neither done nor cancelled */
    BD_JOB_DONE,
    BD_JOB_CANCELLED
};

/* The parents of a job: the jobs that must be done before it starts. The parents' ids are stored in
 * the job record. Ids that do not fit into one value are stored in parts instead: separate keys
 * that are written before the record. */
struct bd_job_record_parents {
    json_t *ids;                    /* array of job ids, borrowed; NULL: none in the record */
    uint32_t part_count;            /* 0: the ids are not split into parts */
    char parts_hash[BD_HASH_BYTES]; /* hash of all ids; contained in the keys of the parts */
    bool is_unreadable;             /* the parents in the record are malformed */
};

/* A job record in the key-value store. Times are wall-clock seconds since the epoch. */
struct bd_job_record {
    enum bd_job_state state;
    uint32_t tasks;
    double submitted_at;
    double ended_at; /* BD_JOB_DONE: end of the last task; 0: not known */
    bool has_spec;   /* otherwise `spec` holds at most the job class */
    struct bd_job_spec_text spec;
    struct bd_job_record_parents parents;
};

/* Whether the text is a job id: "job-" and 1 to 18 digits. False for NULL. */
bool bd_wire_is_job_id(const char *id);
/* Reads a task name, "JOB/INDEX". Returns false if it is malformed; `job` is undefined then. */
bool bd_wire_read_task_name(const char *text, char job[BD_JOB_ID_BYTES], uint32_t *task);

/* Parses the body of a submission; see bd_json_read. Only the submission's own fields are kept. */
json_t *bd_wire_parse_submission(const char *text, size_t len, struct bd_json_error *error);
/* Reads a submission. Returns NULL on success, or the name of the invalid field, a constant. `id`
 * is the job id if that is valid, also when another field is not; otherwise it is empty. */
const char *bd_wire_read_submission(json_t *body, char id[BD_JOB_ID_BYTES],
                                    struct bd_job_spec_text *out);
/* Keeps in the spec only those of the submission's machine types that are wanted, each once. */
void bd_wire_select_types(json_t *body, bool (*is_wanted)(const void *arg, const char *label),
                          const void *arg, struct bd_job_spec_text *spec);
/* Reads the parents in a submission into a new array of distinct job ids, or NULL if there are
 * none. Returns false and sets `out` to NULL if they are malformed or if out of memory. */
bool bd_wire_read_parents(json_t *body, json_t **out);

/* Returns the value of a part with these parents; `ids` is consumed. NULL: out of memory. */
json_t *bd_wire_write_parents_part(json_t *ids);
/* Returns the array of job ids in a part's value, borrowed. NULL: malformed. */
json_t *bd_wire_read_parents_part(json_t *value);

/* Returns a copy of a spec for the record of a cancelled job, as short as bd_wire_read_job_spec
 * still reads it: without the list of machine types. NULL: out of memory. */
json_t *bd_wire_write_cancelled_spec(json_t *spec);
/* Returns the value of a job record. NULL: out of memory. */
json_t *bd_wire_write_job_record(const struct bd_job_record *record);
/* Reads a job record; `out->parents.ids` is borrowed from `value`. Returns false if the record is
 * malformed or if a job that is not done has no spec. */
bool bd_wire_read_job_record(json_t *value, struct bd_job_record *out);

/* Returns the reply to an accepted submission. */
char *bd_wire_write_accepted(const char *id);
/* Returns the reply to a job status request. `state` is the state's name in the protocol, `done`
 * and `running` are numbers of tasks. */
char *bd_wire_write_job_state(const char *id, const char *state, uint32_t done, uint32_t running);
#endif
