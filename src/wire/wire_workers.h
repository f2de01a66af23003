/* Workers in the protocol: their heartbeats, the replies, and the commands they are given. The
 * modules of workers/ and the cache of heartbeats call it. See wire.h for units and ownership.
 */
#ifndef BD_WIRE_WORKERS_H
#define BD_WIRE_WORKERS_H
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a task does on its worker. */
enum bd_execution_state {
    BD_EXECUTION_FETCHING_IMAGE, /* its image */
    BD_EXECUTION_JOINING_GANG,   /* waits for the gang's other tasks */
    BD_EXECUTION_RUNNING,
    BD_EXECUTION_CHECKPOINTING, /* saves its progress, before it stops */
    BD_EXECUTION_EXITED
};
enum bd_exit_reason {
    BD_EXIT_NONE, /* it has not exited, or gives a reason that is not known */
    BD_EXIT_DONE,
    BD_EXIT_STOPPED,          /* by a command */
    BD_EXIT_GANG_MEMBER_LOST, /* another task of its gang has ended */
    BD_EXIT_GANG_INCOMPLETE,  /* the gang's tasks did not come together in time */
    BD_EXIT_ERROR,
    BD_EXIT_NO_CAPACITY, /* the worker's resources do not suffice for it */
    BD_EXIT_BUSY,        /* the worker cannot take it now */
    BD_EXIT_UNKNOWN      /* the worker does not know such a task */
};

/* A task in a heartbeat. */
struct bd_reported_task {
    char job[BD_JOB_ID_BYTES];
    uint32_t task;    /* its index in the job */
    uint64_t attempt; /* number of its attempt */
    enum bd_execution_state execution;
    enum bd_exit_reason exit_reason;
};

struct bd_heartbeat {
    char machine[BD_LABEL_BYTES];
    char address[BD_LABEL_BYTES]; /* "HOST:PORT" where the worker takes direct commands */
    char type[BD_LABEL_BYTES];    /* machine type */
    char zone[BD_LABEL_BYTES];
    bool spot;
    uint64_t incarnation;   /* of the worker's agent: it grows with each start of the agent */
    uint64_t seq;           /* number of the heartbeat in the incarnation */
    uint64_t fencing_token; /* the highest one that the worker has seen */
    double notice_s;        /* seconds until the cloud takes the machine back; < 0: no notice */
    size_t task_count;      /* of `tasks` */
    struct bd_reported_task *tasks; /* owned, see bd_wire_release_heartbeat */
};

enum bd_command_verb {
    BD_COMMAND_LAUNCH, /* start the attempt */
    BD_COMMAND_HALT,   /* stop it */
    BD_COMMAND_FORGET  /* no longer report it: its end has been recorded */
};

struct bd_command {
    enum bd_command_verb verb;
    char job[BD_JOB_ID_BYTES];
    uint32_t task; /* its index in the job */
    uint64_t attempt;
    double grace_s; /* HALT: seconds that it has to save its progress */
};

/* Where the digits of a heartbeat's sequence number stand in its text, and their value. */
struct bd_heartbeat_seq {
    size_t offset, len; /* bytes */
    uint64_t value;
};

/* Reads a heartbeat, which the caller releases. False: malformed or out of memory; there is nothing
 * to be released. */
bool bd_wire_read_heartbeat(json_t *body, struct bd_heartbeat *out);
/* Frees the heartbeat's tasks. */
void bd_wire_release_heartbeat(struct bd_heartbeat *heartbeat);
/* Finds the sequence number in a heartbeat's text of `len` bytes. False: that cannot be told
 * without parsing the text as JSON. */
bool bd_wire_find_heartbeat_seq(const char *text, size_t len, struct bd_heartbeat_seq *out);

/* Writes `n` commands. `incarnation` is that of the worker for direct commands, and 0 in the reply
 * to a heartbeat. */
char *bd_wire_write_commands(uint64_t fencing_token, uint64_t incarnation,
                             const struct bd_command *commands, size_t n);
/* Writes the reply that sends a worker to another controller; NULL or empty: to any. */
char *bd_wire_write_redirect(const char *node);
#endif
