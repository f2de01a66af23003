/* A task's state, and what is known of the attempt that holds its reservation. Changed by
 * task_state.c; the flags also by src/workers/ and src/leadership/. */
#ifndef BD_TASK_H
#define BD_TASK_H
#include <stdint.h>

#define BD_NO_MACHINE UINT32_MAX

enum bd_task_state {
    BD_TASK_PENDING,   /* on no machine; may be placed */
    BD_TASK_PLANNED,   /* placed; its intent is not known to be committed: nothing was sent */
    BD_TASK_LAUNCHING, /* intent committed; the launch is repeated until a heartbeat shows it */
    BD_TASK_CONFIRMED, /* a heartbeat showed it */
    BD_TASK_UNKNOWN,   /* an earlier term's intent that no heartbeat shows: stays reserved */
    BD_TASK_DONE
};

/* Bits of bd_task.flags. */
enum bd_task_flag {
    BD_TASK_FLAG_STOP_REQUESTED = 1,
    BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT = 2, /* not answered: it may still be carried out late */
    BD_TASK_FLAG_RECEIPT_COMMITTED = 4,
    BD_TASK_FLAG_EXITED = 8,           /* exited, but reserved until a late launch is excluded */
    BD_TASK_FLAG_LAUNCH_SENT = 16,     /* directly or in a reply */
    BD_TASK_FLAG_FORCED_STOP = 32,     /* without time for a checkpoint */
    BD_TASK_FLAG_LAUNCH_IN_REPLY = 64, /* in that to the newest heartbeat: may be on its way */
    BD_TASK_FLAG_IN_HEARTBEAT = 128    /* in the heartbeat that is being processed */
};

/* Why a task's reservation of a machine is released. */
enum bd_release_reason {
    BD_RELEASE_INTENT_NOT_COMMITTED, /* nothing was sent */
    BD_RELEASE_LAUNCH_NOT_SENT,      /* the intent was committed, but nothing was ever sent */
    BD_RELEASE_EXITED,               /* a heartbeat shows that its attempt exited */
    BD_RELEASE_NOT_REPORTED,         /* a heartbeat that has seen our term does not show it */
    BD_RELEASE_NEW_INCARNATION,      /* ... and is of a later incarnation */
    BD_RELEASE_LEASE_EXPIRED,
    BD_RELEASE_MACHINE_TERMINATED, /* scaled in, or missing from the cloud's inventory */
    BD_RELEASE_MACHINE_FAILED,
    BD_RELEASE_MOVED, /* a heartbeat shows it elsewhere */
    BD_RELEASE_DONE
};

/* Why a task is asked to stop. */
enum bd_stop_reason {
    BD_STOP_CANCELLED,
    BD_STOP_PREEMPTED,
    BD_STOP_CONSOLIDATED, /* moves, so that its machine can be scaled in */
    BD_STOP_DRAINED,
    BD_STOP_EVACUATED, /* its machine is taken by the cloud, or fails its tasks */
    BD_STOP_GANG       /* another task of its gang was lost */
};

/* There are many tasks, so the enums are kept in a byte each. */
struct bd_task {
    uint64_t attempt;
    uint32_t machine;    /* its index, or BD_NO_MACHINE */
    uint8_t state;       /* enum bd_task_state */
    uint8_t execution;   /* enum bd_execution_state */
    uint8_t flags;       /* bits of enum bd_task_flag */
    uint32_t started_at; /* tenths of a second of the steady clock; 0: no start was seen */
};
#endif
