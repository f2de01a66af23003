/* Encoding and decoding of a drain's records in the key-value store.
 *
 * `d/NAME` holds the request and the drain's state. `e/SET/PART` holds a part of the drain's
 * machines, each with its stage. Administrators change the state through any controller. Once a
 * drain exists, only the leader writes its machines. The functions are pure; the leader's side of
 * the drain package and the administration adapters call them. */
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

#define BD_DRAIN_KEY_PREFIX "d/"          /* prefix of the drains' records: d/NAME */
#define BD_DRAIN_MACHINES_KEY_PREFIX "e/" /* prefix of the machines' records: e/SET/PART */
#define BD_DRAIN_NAME_MAX 40u             /* bytes */

enum bd_drain_mode { BD_DRAIN_RETIRE, BD_DRAIN_REPLACE };
enum bd_drain_state { BD_DRAIN_ACTIVE, BD_DRAIN_PAUSED, BD_DRAIN_CANCELLED, BD_DRAIN_DONE };

/* Progress of one machine of a drain. */
enum bd_drain_stage {
    BD_STAGE_CORDONED, /* it gets no new tasks */
    BD_STAGE_WAITING,  /* it waits for a step; enum bd_drain_wait says why */
    BD_STAGE_STOPPING, /* its tasks are being stopped */
    BD_STAGE_EMPTY,    /* no task is left on it */
    BD_STAGE_REPLACED, /* its replacement is up and runs tasks, or no task is down */
    BD_STAGE_RETURNED, /* it was scaled in */
    BD_STAGE_FAILED,   /* it was lost before it was empty */
    BD_STAGES
};

/* What a machine of a drain waits for. */
enum bd_drain_wait {
    BD_DRAIN_WAIT_NOTHING,
    BD_DRAIN_WAIT_OLDER_CONTROLLER, /* a controller without support for drains is running */
    BD_DRAIN_WAIT_PAUSED,           /* the administrator's `resume` of a paused drain */
    BD_DRAIN_WAIT_HEARTBEAT,        /* its heartbeat, overdue or not yet received in this term */
    BD_DRAIN_WAIT_REPLACEMENT,      /* a replacement machine that is up */
    BD_DRAIN_WAIT_TASKS,            /* its tasks that are allowed to finish first */
    BD_DRAIN_WAIT_BUDGET,           /* the disruption budget of the entry's team */
    BD_DRAIN_WAIT_STEP,             /* a place in a later step */
    BD_DRAIN_WAIT_ZONE,             /* the end of a step in a conflicting zone */
    BD_DRAIN_WAIT_CAPACITY,         /* free capacity for its tasks on other machines */
    BD_DRAIN_WAIT_WORK,             /* tasks that run on its replacement */
    BD_DRAIN_WAITS
};

/* One machine of a drain. */
struct bd_drain_machine {
    /* stored in the record */
    char id[BD_LABEL_BYTES];
    enum bd_drain_stage stage;
    enum bd_drain_wait wait;
    double state_since_s;             /* wall clock: start of this stage and wait */
    char team[BD_NAME_BYTES];         /* team whose budget it waits for, or empty */
    char replacement[BD_LABEL_BYTES]; /* machine id, or empty */
    /* kept by the leader only */
    struct bd_machine *machine;          /* NULL: not known yet in this term */
    enum bd_drain_stage recorded_stage;  /* stage in the store */
    enum bd_drain_stage in_flight_stage; /* stage in the transaction in flight */
    struct timespec replacement_requested_at;
    struct timespec stop_requested_at; /* newest stop of its tasks; zero: none in this term */
    uint32_t failed_replacements;      /* requests without a machine, and abandoned replacements */
    char provisioning_request[BD_LABEL_BYTES]; /* request in flight for its replacement, or empty */
};

/* The record of one drain, `d/NAME`. */
struct bd_drain_record {
    char name[BD_LABEL_BYTES];
    char machine_set_id[BD_HASH_BYTES]; /* SET in the keys of its machines' records */
    enum bd_drain_mode mode;
    enum bd_drain_state state;
    double requested_at_s, ended_at_s; /* wall clock; ended_at_s is 0 until the end */
    uint32_t nparts, nmachines;
    uint64_t revision;
    json_t *request; /* the normalized request, to recognize a repetition */
};

/* The enumerators' names in records, in API responses and in the log. */
const char *bd_drain_stage_name(enum bd_drain_stage stage);
const char *bd_drain_wait_name(enum bd_drain_wait wait);
const char *bd_drain_state_name(enum bd_drain_state state);
const char *bd_drain_mode_name(enum bd_drain_mode mode);

/* Encodes the record's value; the caller owns it. */
json_t *bd_drain_record_encode(const struct bd_drain_record *record);
/* Decodes a record's value; out->request is borrowed from it. False: the value is malformed. */
bool bd_drain_record_decode(const char *name, json_t *value, uint64_t revision,
                            struct bd_drain_record *out);

/* Encodes a part with the given machines; the caller owns the value. */
json_t *bd_drain_part_encode(const struct bd_drain_machine *machines, uint32_t nmachines);
/* Decodes a part and appends its machines to the allocated array *machines, which is grown. False:
 * the value is malformed; the machines before the first malformed one are appended. */
bool bd_drain_part_decode(json_t *value, struct bd_drain_machine **machines, uint32_t *nmachines);
/* How many machines a part may hold so that the part fits into a value, in whatever stages its
 * machines are. */
uint32_t bd_drain_part_machines_max(const struct bd_settings *settings, size_t kv_value_bytes_max,
                                    size_t longest_id_len);
/* Writes the key of a part into a buffer of `capacity` bytes. */
void bd_drain_part_key(char *key, size_t capacity, const char *machine_set_id, uint32_t part);
#endif
