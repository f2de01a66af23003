/* The checker of disruption: a history of replicas that run, are stopped and are lost, against the
 * teams' budgets. */
#ifndef BD_TESTS_DRAIN_CHECK_H
#define BD_TESTS_DRAIN_CHECK_H
#include <stdbool.h>
#include <stdint.h>

#define DRAIN_REPLICAS 512

enum drain_replica_state { REPLICA_NONE, REPLICA_UP, REPLICA_STOPPED, REPLICA_LOST };

struct drain_replica {
    int job, team;
    uint32_t task;
    enum drain_replica_state state;
    double since;
};

struct drain_check {
    uint32_t budgets[2],
        peak_down[2]; /* by team; peak_down: replicas that drains had stopped at once */
    uint32_t stops;
    struct drain_replica replicas[DRAIN_REPLICAS];
    int n;
};

void drain_check_start(struct drain_check *check, const uint32_t *budgets);
void drain_check_replica_running(struct drain_check *check, int job, uint32_t task, int team);
void drain_check_replica_lost(struct drain_check *check, double now, int job, uint32_t task);
/* The job was ended by its user. */
void drain_check_job_cancelled(struct drain_check *check, int job);
/* False: more of the team are down than it declared. */
bool drain_check_replica_stopped(struct drain_check *check, double now, int job, uint32_t task);
/* whether the checker sees what it must, on invented histories */
bool drain_check_self_test(void);
#endif
