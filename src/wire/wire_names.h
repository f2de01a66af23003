/* Maps the field names of the protocols to the standard terms used in the code.
 *
 * Only wire*.c use these constants. A protocol word with two meanings has two constants. The words
 * for enum values are in tables next to the code that reads and writes them.
 */
#ifndef BD_WIRE_NAMES_H
#define BD_WIRE_NAMES_H

/* ---- several protocols ---- */
#define KEY_ID "id"
#define KEY_ERROR "error"
#define KEY_MORE "more"  /* whether further pages follow */
#define KEY_STATE "mood" /* of a job, a task or a machine */
#define KEY_ZONE "glade"
#define KEY_ZONES "glades"
#define KEY_MACHINE_TYPE "breed"
#define KEY_MACHINE_TYPES "breeds"
#define KEY_SPOT "windfall" /* of a machine: is a spot machine; of a job: may run on one */
#define KEY_ADDRESS "endpoint"
#define KEY_CPUS "vcpus"
#define KEY_GPUS "accelerators"
#define KEY_MEMORY_GB "memGb"

/* ---- job specs, in submissions and in job records ---- */
#define KEY_JOB_CLASS "kin"
#define KEY_TEAM "household"
#define KEY_JOB_KIND "shape"
#define KEY_PRIORITY "rank"
#define KEY_TASK_COUNT "chores"
#define KEY_IMAGE "seed"
#define KEY_IMAGE_GB "imageGb"
#define KEY_SAME_ZONE "together"
#define KEY_SPREAD_ZONES "scatter"
#define KEY_ESTIMATE_S "guessS"
#define KEY_CHECKPOINT_INTERVAL_S "markS"
#define KEY_CHECKPOINT_SAVE_S "stowS"
#define KEY_DEADLINE_S "dueS"
#define KEY_PARENTS "awaits"

/* ---- replies to users ---- */
#define KEY_DONE_COUNT "done"
#define KEY_RUNNING_COUNT "running"

/* ---- job records ---- */
#define KEY_RECORD_STATE "s"
#define KEY_RECORD_TASK_COUNT "n"
#define KEY_RECORD_SUBMITTED_AT "at"
#define KEY_RECORD_ENDED_AT "end"
#define KEY_RECORD_SPEC "job"
#define KEY_RECORD_JOB_CLASS "k" /* only in records without a spec */
#define KEY_RECORD_PARTS "parts" /* the parts that the parents are split into */
#define KEY_PARTS_HASH "of"
#define KEY_PARTS_COUNT "n"

/* ---- heartbeats, their replies, and commands ---- */
#define KEY_MACHINE "hearth"
#define KEY_INCARNATION "tenancy"
#define KEY_HEARTBEAT_SEQ "tally"
#define KEY_FENCING_TOKEN "seal"
#define KEY_NOTICE_S "warningS"
#define KEY_TASKS "chores"
#define KEY_TASK "chore" /* "JOB/INDEX" */
#define KEY_ATTEMPT "try"
#define KEY_EXIT_REASON "cause"
#define KEY_COMMANDS "bids"
#define KEY_COMMAND_VERB "verb"
#define KEY_STOP_GRACE_S "mercyS"
#define KEY_LEADER "steward"

/* ---- the cloud ---- */
#define KEY_TYPE_LABEL "label"
#define KEY_PRICE "hourly"
#define KEY_SPOT_PRICE "marketPrice"
#define KEY_CACHE_GB "localGb"
#define KEY_FETCH_GB_PER_S "fetchGbPerS"
#define KEY_BOOT_S "readyS"
#define KEY_MACHINES "hearths"
#define KEY_MACHINE_AGE_S "heldS"
#define KEY_REQUEST_ID "plea" /* idempotency key of a provisioning request */
#define KEY_MACHINE_COUNT "howMany"
#define ERROR_CLOUD_OUTAGE "trouble"

/* ---- the key-value store ---- */
#define KEY_COMPARES "if"      /* conditions of a transaction */
#define KEY_OPERATIONS "apply" /* operations of a transaction */
#define KEY_FAILED_COMPARES "failed"
#define KEY_STORE_KEY "k"
#define KEY_PUT_KEY "set"
#define KEY_DELETED_KEY "drop"
#define KEY_VALUE "value"
#define KEY_REVISION "mark"       /* revision of a key */
#define KEY_STORE_REVISION "ring" /* revision of the whole store */
#define KEY_GRANT "charter"       /* id of a lease */
#define KEY_GRANT_TTL_MS "ttlMs"
#define KEY_PAIRS "pairs"
#define KEY_CHANGE_LOG "log"
#define ERROR_NO_GRANT "no such lease"
#endif
