/* A task's state, and the known state of the attempt that holds its reservation. Changed by
 * task_state.c, and by src/workers/ and src/leadership/ from heartbeats and intents. */
#ifndef BD_TASK_H
#define BD_TASK_H
#include <stdint.h>

#define BD_NO_MACHINE UINT32_MAX

enum bd_task_state {
    BD_TASK_PENDING,   /* not placed; may be placed */
    BD_TASK_PLANNED,   /* placed; its intent is not known to be committed, so no launch was sent */
    BD_TASK_LAUNCHING, /* intent committed; the launch is repeated until a heartbeat reports it */
    BD_TASK_CONFIRMED, /* a heartbeat reported it */
    BD_TASK_UNKNOWN,   /* perhaps started by an earlier term; not reported yet, stays reserved */
    BD_TASK_DONE
};

/* Bits of bd_task.flags. */
enum bd_task_flag {
    BD_TASK_FLAG_STOP_REQUESTED = 1,
    BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT = 2, /* not answered, so it may be carried out late */
    BD_TASK_FLAG_RECEIPT_COMMITTED = 4,
    BD_TASK_FLAG_EXITED = 8,           /* keeps its reservation until a late launch is excluded */
    BD_TASK_FLAG_LAUNCH_SENT = 16,     /* in a direct command or in a reply */
    BD_TASK_FLAG_FORCED_STOP = 32,     /* without time for a checkpoint */
    BD_TASK_FLAG_LAUNCH_IN_REPLY = 64, /* in the last reply, which may be in flight */
    BD_TASK_FLAG_IN_HEARTBEAT = 128    /* in the heartbeat that is being processed */
};

/* Why a task's reservation of a machine is released. */
enum bd_release_reason {
    BD_RELEASE_INTENT_NOT_COMMITTED, /* nothing was sent */
    BD_RELEASE_LAUNCH_NOT_SENT,      /* the intent was committed, but no launch was sent */
    BD_RELEASE_EXITED,               /* a heartbeat reports that its attempt exited */
    BD_RELEASE_NOT_REPORTED,         /* not in a heartbeat from a machine that has seen the term */
    BD_RELEASE_NEW_INCARNATION,      /* a heartbeat from a later incarnation arrived */
    BD_RELEASE_LEASE_EXPIRED,
    BD_RELEASE_MACHINE_TERMINATED, /* scaled in, or missing from the cloud's inventory */
    BD_RELEASE_MACHINE_FAILED,
    BD_RELEASE_MOVED, /* a heartbeat reports it on another machine */
    BD_RELEASE_DONE
};

/* Why a stop of a task is requested. */
enum bd_stop_reason {
    BD_STOP_CANCELLED,
    BD_STOP_PREEMPTED,
    BD_STOP_CONSOLIDATED, /* moved, so that its machine can be scaled in */
    BD_STOP_DRAINED,
    BD_STOP_EVACUATED, /* the cloud terminates its machine, or tasks fail there */
    BD_STOP_GANG       /* another task of its gang was lost */
};

/* One byte for each enum, since there are many tasks. */
struct bd_task {
    uint64_t attempt;
    uint32_t index;      /* among the job's tasks */
    uint32_t machine;    /* its index, or BD_NO_MACHINE */
    uint8_t state;       /* enum bd_task_state */
    uint8_t execution;   /* enum bd_execution_state */
    uint8_t flags;       /* bits of enum bd_task_flag */
    uint32_t started_at; /* tenths of a second of the monotonic clock; 0: no start was seen */
};
#endif
