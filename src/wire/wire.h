/* The only place that knows the platform's field names. Everything that goes over a wire to
 * users, workers, cloud or state service is read and written here. */
#ifndef BD_WIRE_H
#define BD_WIRE_H
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* where requests go: users and workers to us, */
#define BD_PATH_HEALTH "/up"
#define BD_PATH_HEARTBEAT "/checkin"
#define BD_PATH_JOBS "/submissions"
#define BD_PATH_CANCEL "/withdraw" /* after a job's path */
/* ... we to workers, the cloud and the state service */
#define BD_PATH_COMMANDS "/do"
#define BD_PATH_MACHINES "/machines"
#define BD_PATH_RETURN "/machines/return"
#define BD_PATH_COMMIT "/commit"
#define BD_PATH_GRANTS "/grants"
#define BD_PATH_RENEW "/renew" /* after a grant's path */
#define BD_PATH_KEYS "/kv"
#define BD_PATH_LIST "/kv?starts="
#define BD_PATH_REFRESH "/follow?starts="

#define BD_ID 32
#define BD_LABEL 64
#define BD_HASH 20
#define BD_PARENT_PARTS_MAX 512u
#define BD_MAX_TYPES 32
#define BD_MAX_TASKS 100000u

enum bd_job_kind { BD_JOB_ARRAY, BD_JOB_GANG, BD_JOB_SERVICE };
enum bd_priority {
    BD_PRIORITY_IDLE,
    BD_PRIORITY_STANDARD,
    BD_PRIORITY_HIGH,
    BD_PRIORITY_PRODUCTION
};

/* a job as its user wrote it, names not yet looked up */
struct bd_spec_text {
    char job_class[BD_LABEL], team[BD_LABEL], image[BD_LABEL], zone[BD_LABEL];
    char types[BD_MAX_TYPES][BD_LABEL];
    int ntypes; /* -1: any */
    enum bd_job_kind kind;
    enum bd_priority priority;
    uint32_t tasks;
    double cpus, gpus, mem, image_gb, estimate, checkpoint_interval_s, checkpoint_save_s,
        deadline_s; /* due < 0: none */
    bool same_zone, spread_zones, spot;
};

enum bd_execution_state {
    BD_EXECUTION_FETCHING,
    BD_EXECUTION_JOINING_GANG,
    BD_EXECUTION_RUNNING,
    BD_EXECUTION_CHECKPOINTING,
    BD_EXECUTION_EXITED
};
enum bd_exit_reason {
    BD_EXIT_NONE,
    BD_EXIT_DONE,
    BD_EXIT_STOPPED,
    BD_EXIT_GANG_MEMBER_LOST,
    BD_EXIT_GANG_INCOMPLETE,
    BD_EXIT_ERROR,
    BD_EXIT_NO_CAPACITY,
    BD_EXIT_BUSY,
    BD_EXIT_UNKNOWN
};

struct bd_reported_task {
    char job[BD_ID];
    uint32_t task;
    uint64_t attempt;
    enum bd_execution_state execution;
    enum bd_exit_reason exit_reason;
    bool kept;
};

struct bd_heartbeat {
    char machine[BD_LABEL], addr[BD_LABEL], type[BD_LABEL], zone[BD_LABEL];
    bool spot;
    uint64_t incarnation, seq, fencing_token;
    double notice; /* < 0: none */
    size_t n;
    struct bd_reported_task *tasks;
};

enum bd_command_verb { BD_COMMAND_LAUNCH, BD_COMMAND_HALT, BD_COMMAND_FORGET };

struct bd_command {
    enum bd_command_verb verb;
    char job[BD_ID];
    uint32_t task;
    uint64_t attempt;
    double grace;
};

struct bd_type_text {
    char label[BD_LABEL];
    double cpus, gpus, mem, cache_gb, fetch, price, spot_price, boot;
    char zones[16][BD_LABEL];
    int nzones;
};

enum bd_job_state { BD_JOB_ACTIVE, BD_JOB_DONE, BD_JOB_CANCELLED };

/* What a job waits for: the names of other jobs, in its record or, where a value does not hold them
 * all, in parts of their own that are written before it. */
struct bd_record_parents {
    json_t *names;  /* borrowed; NULL: none here */
    uint32_t parts; /* 0: none */
    char of[BD_HASH];
    bool damaged;
};

struct bd_record {
    enum bd_job_state state;
    uint32_t tasks;
    double at;  /* time of day of the submission */
    double end; /* done: of its last task's end; 0: not known */
    bool has_spec;
    struct bd_spec_text spec;
    struct bd_record_parents parents;
};

struct bd_cloud_machine {
    char id[BD_LABEL], addr[BD_LABEL], type[BD_LABEL], zone[BD_LABEL];
    bool spot;
    enum { BD_MACHINE_BOOTING, BD_MACHINE_UP, BD_MACHINE_FAILED } state;
    double age;
};

/* a hash of a list of texts, for lists too long to be kept */
uint64_t bd_wire_names_hash(json_t *names);
bool bd_wire_job_id(const char *id);
/* "job-1/3" */
bool bd_wire_task_name(const char *s, char job[BD_ID], uint32_t *task);
/* NULL, or what is wrong; *id gets the job's id as soon as one was found */
const char *bd_wire_submission(json_t *o, char id[BD_ID], struct bd_spec_text *out);
/* The jobs that a submission waits for, each once; *out is a new list or NULL. False: malformed. */
bool bd_wire_parents(json_t *o, json_t **out);
json_t *bd_wire_parents_part(json_t *names); /* a part's value, and what one holds */
json_t *bd_wire_read_part(json_t *v);
/* a job's text once it is cancelled: as short as it can be read */
json_t *bd_wire_ended_spec(json_t *spec);
json_t *bd_wire_spec(const struct bd_spec_text *s);
json_t *bd_wire_record(const struct bd_record *record);
bool bd_wire_read_record(json_t *v, struct bd_record *out);
char *bd_wire_accepted(const char *id);
char *bd_wire_state(const char *id, const char *state, uint32_t done, uint32_t running);
bool bd_wire_heartbeat(json_t *o, struct bd_heartbeat *out);
void bd_wire_heartbeat_release(struct bd_heartbeat *heartbeat);
/* Where the digits of the report's number stand in its text, and what they say. */
struct bd_heartbeat_number {
    size_t at, len;
    uint64_t value;
};
/* False: not to be told without reading the text as JSON. */
bool bd_wire_heartbeat_number(const char *text, size_t len, struct bd_heartbeat_number *out);
/* session 0: an answer to a report, else the body of a direct command */
/* Bytes of the value as it is sent; SIZE_MAX: out of memory. */
size_t bd_wire_bytes(const json_t *value);
char *bd_wire_commands(uint64_t fencing_token, uint64_t incarnation, const struct bd_command *o,
                       size_t n);
int bd_wire_types(json_t *o, struct bd_type_text *out, int max);
int bd_wire_machines(json_t *o, struct bd_cloud_machine *out, int max, bool *more);
char *bd_wire_provision(const char *request, const char *type, const char *zone, bool spot,
                        int count);
char *bd_wire_return(char (*names)[BD_LABEL], int n);
int bd_wire_machine_names(json_t *o, char (*names)[BD_LABEL], int max);
/* whether a 503 of the cloud means that it is out of order, rather than out of machines */
bool bd_wire_cloud_outage(json_t *o);
char *bd_wire_redirect(const char *node);

/* state service */
struct bd_txn {
    json_t *compares, *ops;
};
bool bd_txn_begin(struct bd_txn *txn);
void bd_txn_compare(struct bd_txn *txn, const char *key, uint64_t revision);
void bd_txn_put(struct bd_txn *txn, const char *key, json_t *value, uint64_t grant);
void bd_txn_delete(struct bd_txn *txn, const char *key);
char *bd_txn_finish(struct bd_txn *txn);

struct bd_change {
    const char *key;
    json_t *value; /* NULL: gone */
    uint64_t revision;
};
uint64_t bd_wire_store_revision(json_t *o);
/* names the revision in a change of a transaction, as an entry of a refresh does */
void bd_wire_set_revision(json_t *change, uint64_t revision);
json_t *bd_wire_failed(json_t *o);
/* whether a refusal says that the grant of a key is over */
bool bd_wire_no_grant(json_t *o);
json_t *bd_wire_pairs(json_t *o, bool *more);
json_t *bd_wire_log(json_t *o);
bool bd_wire_change(json_t *o, struct bd_change *c); /* an entry of pairs or of log */
bool bd_wire_pair(json_t *o, struct bd_change *c, uint64_t *grant); /* GET of one key */
uint64_t bd_wire_grant(json_t *o);
char *bd_wire_ttl(double s);
#endif
