/* Checks a history of replicas that run, are stopped and are lost against the teams' disruption
 * budgets. */
#ifndef BD_TESTS_DRAIN_CHECK_H
#define BD_TESTS_DRAIN_CHECK_H
#include <stdbool.h>
#include <stdint.h>

#define DRAIN_REPLICAS_MAX 512

enum drain_replica_state { REPLICA_NONE, REPLICA_UP, REPLICA_STOPPED, REPLICA_LOST };

struct drain_replica {
    int job, team;
    uint32_t task;
    enum drain_replica_state state;
    double state_since; /* of a stop or a loss, in seconds */
};

struct drain_check {
    uint32_t budgets[2];      /* by team: how many replicas may be down */
    uint32_t peak_stopped[2]; /* by team: the most replicas that were stopped at the same time */
    uint32_t stops;           /* of replicas that ran */
    struct drain_replica replicas[DRAIN_REPLICAS_MAX];
    int nreplicas;
};

void drain_check_start(struct drain_check *check, const uint32_t *budgets);
void drain_check_replica_running(struct drain_check *check, int job, uint32_t task, int team);
void drain_check_replica_lost(struct drain_check *check, double now_s, int job, uint32_t task);
/* The user cancelled the job: its replicas are no longer counted. */
void drain_check_job_cancelled(struct drain_check *check, int job);
/* Returns false if more replicas of the team are down than its budget allows. */
bool drain_check_replica_stopped(struct drain_check *check, double now_s, int job, uint32_t task);
/* Returns whether the checker judges sample histories correctly. */
bool drain_check_self_test(void);
#endif
