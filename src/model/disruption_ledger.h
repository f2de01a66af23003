/* The ledger of disruption: which tasks are down, counted by team and by class of jobs.
 *
 * A task is down from the moment it may be stopped, or is lost, until its next attempt is seen
 * running. Deaths, spot notices, failures, preemption, consolidation and drains all count; only
 * voluntary disruption is checked against the budgets first. What a new leader cannot know counts
 * as down: an earlier leader's command may be on its way until the machine's heartbeat shows our
 * term.
 *
 * Owns `struct bd_ledger`, which only its functions change. model/ and workers/ pass it the changes
 * of tasks, drain/ queries it, core/ creates it. Kept as leader, and only while
 * draining is on (core->ledger is NULL otherwise). */
#ifndef BD_DISRUPTION_LEDGER_H
#define BD_DISRUPTION_LEDGER_H
#include "brambledoor/settings.h"
#include "model/job.h"
#include <roaring/roaring.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

struct bd_core;

/* The most tasks of a team, or of one class of its jobs, that may be down at once. */
struct bd_budget_rule {
    char team[BD_NAME_BYTES];      /* empty: every team without a rule of its own */
    char job_class[BD_NAME_BYTES]; /* empty: all of the team's tasks */
    bool per_cent; /* of the tasks that are up or down; rounded down, at least one */
    double amount; /* tasks, or per cent */
};

/* The tasks that count for one rule and one team. */
struct bd_budget {
    int team; /* index in the settings */
    const struct bd_budget_rule *rule;
    uint32_t up, down;
    uint32_t silent; /* of those that are up: on machines that may have failed */
};

#define BD_BUDGETS_PER_JOB 2 /* its team's, and its class's */

/* A job's tasks, as far as they were ever seen running, as sets of their indices. */
struct bd_ledger_job {
    UT_hash_handle hh;
    const struct bd_job *job;
    roaring_bitmap_t *up, *down;
    uint32_t budgets[BD_BUDGETS_PER_JOB]; /* indices in the ledger */
    uint32_t nbudgets;
};

struct bd_ledger {
    struct bd_budget *budgets; /* the teams' in their order, then those of classes */
    uint32_t nbudgets;
    struct bd_ledger_job *jobs; /* hash by the job's address */
};

/* The settings and the rules must outlive the ledger. Never NULL; aborts if out of memory. */
struct bd_ledger *bd_ledger_new(const struct bd_settings *settings,
                                const struct bd_budget_rule *rules, uint32_t nrules);
/* Removes all jobs. */
void bd_ledger_clear(struct bd_ledger *ledger);
void bd_ledger_free(struct bd_ledger *ledger);

/* Counts the task anew after a change of its state. */
void bd_ledger_update_task(struct bd_core *core, struct bd_job *job, uint32_t i);
/* Removes a job that has ended, or is not ours to lead any more. */
void bd_ledger_remove_job(struct bd_core *core, const struct bd_job *job);
/* After a failover: all tasks that may have run count as down. */
void bd_ledger_leadership_acquired(struct bd_core *core);
/* Counts anew the tasks on machines that may have failed. */
void bd_ledger_update_silent(struct bd_core *core);

/* How many tasks may be down at once. */
uint32_t bd_budget_allowed(const struct bd_budget *budget);
/* How many more may go down by our own doing. */
uint32_t bd_budget_remaining(const struct bd_budget *budget);
const char *bd_budget_team_name(const struct bd_core *core, const struct bd_budget *budget);
bool bd_ledger_is_up(const struct bd_ledger *ledger, const struct bd_job *job, uint32_t task);
/* The job's entry, which is new if there is none; NULL: its team is not known. */
struct bd_ledger_job *bd_ledger_get_job(struct bd_core *core, const struct bd_job *job);
/* The team's tasks, or its class's if job_class is not empty, that are down and up; for tests. */
void bd_ledger_get_counts(const struct bd_core *core, const char *team, const char *job_class,
                          uint32_t *down, uint32_t *up);
#endif
