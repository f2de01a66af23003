/* A drain's records in the key-value store, and the values that they are made of.
 *
 * `d/NAME` holds what was requested and the drain's state; `e/SET/PART` holds its machines, several
 * to a part, each with its stage. Administrators write states through any controller; the leader
 * alone writes the machines. Pure functions: the leader's part of the drain package and the
 * administration adapters call them. */
#ifndef BD_DRAIN_RECORD_H
#define BD_DRAIN_RECORD_H
#include "brambledoor/settings.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

struct bd_machine;

#define BD_DRAIN_KEY_PREFIX "d/"          /* prefix of the drains' own records */
#define BD_DRAIN_MACHINES_KEY_PREFIX "e/" /* prefix of their machines' records: e/SET/PART */
#define BD_DRAIN_NAME_MAX 40u             /* bytes */

enum bd_drain_mode { BD_DRAIN_RETIRE, BD_DRAIN_REPLACE };
enum bd_drain_state { BD_DRAIN_ACTIVE, BD_DRAIN_PAUSED, BD_DRAIN_CANCELLED, BD_DRAIN_DONE };

/* How far a machine of a drain is. */
enum bd_drain_stage {
    BD_STAGE_CORDONED, /* gets no new tasks */
    BD_STAGE_WAITING,  /* for what `bd_drain_wait` names */
    BD_STAGE_STOPPING, /* its tasks are being stopped */
    BD_STAGE_EMPTY,    /* no task is left on it */
    BD_STAGE_REPLACED, /* its replacement is up and runs tasks */
    BD_STAGE_RETURNED, /* scaled in */
    BD_STAGE_FAILED,   /* it disappeared before it was empty */
    BD_STAGES
};

/* What a machine of a drain waits for. */
enum bd_drain_wait {
    BD_DRAIN_WAIT_NOTHING,
    BD_DRAIN_WAIT_OLDER_CONTROLLER, /* a controller is running that does not know drains */
    BD_DRAIN_WAIT_PAUSED,           /* an administrator's `resume` */
    BD_DRAIN_WAIT_HEARTBEAT,        /* its heartbeat, which is late or was not seen in this term */
    BD_DRAIN_WAIT_REPLACEMENT,      /* a replacement that is up */
    BD_DRAIN_WAIT_TASKS,            /* tasks that may finish first */
    BD_DRAIN_WAIT_BUDGET,           /* the disruption budget of the team that is named */
    BD_DRAIN_WAIT_STEP,             /* a place in a later step */
    BD_DRAIN_WAIT_ZONE,             /* machines of a conflicting zone that are in a step */
    BD_DRAIN_WAIT_CAPACITY,         /* free capacity for its tasks elsewhere */
    BD_DRAIN_WAIT_WORK,             /* its replacement to run tasks */
    BD_DRAIN_WAITS
};

/* One machine of a drain. */
struct bd_drain_machine {
    /* as recorded */
    char id[BD_LABEL_BYTES];
    enum bd_drain_stage stage;
    enum bd_drain_wait wait;
    double state_since_s;             /* wall clock, seconds: of this stage and wait */
    char team[BD_NAME_BYTES];         /* whose budget it waits for, or empty */
    char replacement[BD_LABEL_BYTES]; /* machine id, or empty */
    /* as leader only */
    struct bd_machine *machine;          /* NULL: not known in this term so far */
    enum bd_drain_stage recorded_stage;  /* what the store holds */
    enum bd_drain_stage in_flight_stage; /* what the transaction in flight holds */
    struct timespec replacement_requested_at;
    struct timespec stop_requested_at;         /* of its tasks; zero: not in this term */
    uint32_t failed_replacements;              /* requests without a machine, and machines not up */
    char provisioning_request[BD_LABEL_BYTES]; /* the one in flight for its replacement, or empty */
};

/* One drain's record, `d/NAME`. */
struct bd_drain_record {
    char name[BD_LABEL_BYTES];
    char machine_set_id[BD_HASH_BYTES]; /* names the records of its machines */
    enum bd_drain_mode mode;
    enum bd_drain_state state;
    double requested_at_s, ended_at_s; /* wall clock, seconds; ended is 0 until then */
    uint32_t nparts, nmachines;
    uint64_t revision;
    json_t *request; /* the request as received, to recognize a repeated one */
};

/* The names of the enumerators in records, on the wire and in the log. */
const char *bd_drain_stage_name(enum bd_drain_stage stage);
const char *bd_drain_wait_name(enum bd_drain_wait wait);
const char *bd_drain_state_name(enum bd_drain_state state);
const char *bd_drain_mode_name(enum bd_drain_mode mode);

/* The record's value; the caller owns it. */
json_t *bd_drain_record_encode(const struct bd_drain_record *record);
/* Reads a record's value; out->request is borrowed from it. False: the value is damaged. */
bool bd_drain_record_decode(const char *name, json_t *value, uint64_t revision,
                            struct bd_drain_record *out);

/* The value of a part with n machines; the caller owns it. */
json_t *bd_drain_part_encode(const struct bd_drain_machine *machines, uint32_t n);
/* Appends the part's machines to the allocated array *machines of *n. False: the value is damaged;
 * the machines before the damage are appended. */
bool bd_drain_part_decode(json_t *value, struct bd_drain_machine **machines, uint32_t *n);
/* How many machines a part may hold, so that it fits into a value whatever stage they reach. */
uint32_t bd_drain_part_machines_max(const struct bd_settings *settings, size_t kv_value_bytes_max,
                                    size_t longest_id);
/* Writes the key of a part into a buffer of `cap` bytes. */
void bd_drain_part_key(char *key, size_t cap, const char *set, uint32_t part);
#endif
