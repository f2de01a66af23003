/* A task's state, and what is known of the attempt that holds its place. */
#ifndef BD_TASK_H
#define BD_TASK_H
#include <stdint.h>

#define BD_NO_MACHINE UINT32_MAX

enum bd_task_state {
    BD_TASK_PENDING,   /* on no machine; may be placed */
    BD_TASK_PLANNED,   /* placed; its intent is not known to be committed: nothing was sent */
    BD_TASK_LAUNCHING, /* intent committed; the launch is repeated until a report shows it */
    BD_TASK_CONFIRMED, /* a report showed it */
    BD_TASK_UNKNOWN,   /* an earlier term's intent without a report: its room stays held */
    BD_TASK_DONE
};

enum {
    BD_TASK_FLAG_STOP_REQUESTED = 1, /* is to be halted */
    BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT =
        2, /* a direct launch has no answer yet: it may still run late */
    BD_TASK_FLAG_RECEIPT_COMMITTED = 4, /* the receipt is committed */
    BD_TASK_FLAG_EXITED = 8,            /* exited, but held until the late launch is excluded */
    BD_TASK_FLAG_LAUNCH_SENT = 16,      /* a launch was sent in any form */
    BD_TASK_FLAG_FORCED_STOP = 32,      /* halt without grace */
    BD_TASK_FLAG_LAUNCH_IN_REPLY =
        64, /* launched in the answer to the newest check-in: it may still be under way */
    BD_TASK_FLAG_IN_HEARTBEAT = 128 /* in the report being read */
};

/* Why a task's hold on a machine ended. */
enum bd_release_reason {
    BD_RELEASE_INTENT_NOT_COMMITTED, /* its intent was not: nothing was sent */
    BD_RELEASE_LAUNCH_NOT_SENT,      /* its intent was, but nothing was ever sent */
    BD_RELEASE_EXITED,               /* a report shows its attempt exited */
    BD_RELEASE_NOT_REPORTED,         /* a report that has seen our term does not show it */
    BD_RELEASE_NEW_INCARNATION,      /* ... is of a later session */
    BD_RELEASE_LEASE_EXPIRED,
    BD_RELEASE_MACHINE_GONE, /* returned, or missing from the cloud's list */
    BD_RELEASE_MACHINE_FAILED,
    BD_RELEASE_MOVED, /* a report shows it elsewhere */
    BD_RELEASE_DONE
};

/* Why a task is told to stop. */
enum bd_stop_reason {
    BD_STOP_CANCELLED,
    BD_STOP_PREEMPTED,
    BD_STOP_CONSOLIDATED, /* moves, so that its machine can go back */
    BD_STOP_DRAINED,
    BD_STOP_EVACUATED, /* its machine is taken by the cloud, or fails its tasks */
    BD_STOP_GANG       /* another task of its gang is gone */
};

struct bd_task {
    uint64_t attempt;
    uint32_t machine;
    uint8_t state, execution, flags;
    uint32_t started_at; /* tenths of a second of the steady clock; 0: not seen to begin */
};
#endif
