/* Protocol with workers: heartbeats, replies to them, and commands. Used by workers/ and the
 * heartbeat cache. See wire.h for units and ownership.
 */
#ifndef BD_WIRE_WORKERS_H
#define BD_WIRE_WORKERS_H
#include "base/json_reader.h"
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* State of a task on its worker. */
enum bd_execution_state {
    BD_EXECUTION_FETCHING_IMAGE, /* downloads the task's image */
    BD_EXECUTION_JOINING_GANG,   /* waits for the other tasks of its gang */
    BD_EXECUTION_RUNNING,
    BD_EXECUTION_CHECKPOINTING, /* saves its progress before it stops */
    BD_EXECUTION_EXITED
};
enum bd_exit_reason {
    BD_EXIT_NONE, /* not exited, or the reason is missing or not known */
    BD_EXIT_DONE,
    BD_EXIT_STOPPED,          /* stopped by a command */
    BD_EXIT_GANG_MEMBER_LOST, /* another task of the gang has exited */
    BD_EXIT_GANG_INCOMPLETE,  /* not all tasks of the gang joined in time */
    BD_EXIT_ERROR,
    BD_EXIT_NO_CAPACITY, /* the worker has too few resources for the task */
    BD_EXIT_BUSY,        /* the worker cannot accept the task now */
    BD_EXIT_UNKNOWN      /* the worker does not know the task */
};

/* State of a task as reported in a heartbeat. */
struct bd_reported_task {
    char job[BD_JOB_ID_BYTES];
    uint32_t task;    /* its index in the job */
    uint64_t attempt; /* attempt number */
    enum bd_execution_state execution;
    enum bd_exit_reason exit_reason;
};

struct bd_heartbeat {
    char machine[BD_LABEL_BYTES];
    char address[BD_LABEL_BYTES]; /* "HOST:PORT" at which the worker receives direct commands */
    char type[BD_LABEL_BYTES];    /* machine type */
    char zone[BD_LABEL_BYTES];
    bool spot;
    uint64_t incarnation;   /* of the worker's agent; increases with each start of the agent */
    uint64_t seq;           /* sequence number within the incarnation */
    uint64_t fencing_token; /* highest token that the worker has seen */
    double notice_s;        /* time until the cloud terminates the machine; < 0: no notice given */
    size_t task_count;      /* length of `tasks` */
    struct bd_reported_task *tasks; /* owned; freed by bd_wire_release_heartbeat */
};

enum bd_command_verb {
    BD_COMMAND_LAUNCH, /* start the attempt */
    BD_COMMAND_HALT,   /* stop the attempt */
    BD_COMMAND_FORGET  /* stop reporting the attempt, because its end has been recorded */
};

struct bd_command {
    enum bd_command_verb verb;
    char job[BD_JOB_ID_BYTES];
    uint32_t task; /* its index in the job */
    uint64_t attempt;
    double grace_s; /* BD_COMMAND_HALT: time allowed to save a checkpoint */
};

/* Position of the sequence number's digits in the text of a heartbeat, and their value. */
struct bd_heartbeat_seq {
    size_t offset, len; /* bytes */
    uint64_t value;
};

/* Parses the text of a heartbeat; see bd_json_read. Only the heartbeat's own fields are kept. */
json_t *bd_wire_parse_heartbeat(const char *text, size_t len, struct bd_json_error *error);
/* Reads a heartbeat, which the caller releases with bd_wire_release_heartbeat. Returns false if it
 * is malformed or if out of memory; nothing needs to be released then. */
bool bd_wire_read_heartbeat(json_t *body, struct bd_heartbeat *out);
/* Frees the heartbeat's tasks. */
void bd_wire_release_heartbeat(struct bd_heartbeat *heartbeat);
/* Finds the sequence number in the heartbeat text of `len` bytes. Returns false if this requires
 * parsing the text as JSON. */
bool bd_wire_find_heartbeat_seq(const char *text, size_t len, struct bd_heartbeat_seq *out);

/* Writes `count` commands. For direct commands, `incarnation` is the worker's; in the reply to a
 * heartbeat it is 0 and is omitted. */
char *bd_wire_write_commands(uint64_t fencing_token, uint64_t incarnation,
                             const struct bd_command *commands, size_t count);
/* Writes the reply that redirects a worker to the controller `node`; NULL or empty: to any
 * controller. */
char *bd_wire_write_redirect(const char *node);
#endif
