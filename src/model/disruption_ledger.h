/* The ledger of disruption: which tasks are down, counted by team and class from what the tasks do.
 *
 * A task is down from the moment it may be stopped, or is lost, until its next attempt is seen
 * running. Deaths, notices, failures, preemption, consolidation and drains all count; only what is
 * voluntary asks first. What a new leader cannot know counts as down: an earlier leader's command
 * may still be on its way until the machine's heartbeat shows that it has seen our term.
 *
 * Kept as leader, and only while draining is on (core->ledger is NULL otherwise). */
#ifndef BD_DISRUPTION_LEDGER_H
#define BD_DISRUPTION_LEDGER_H
#include "brambledoor/settings.h"
#include "model/job.h"
#include <roaring/roaring.h>
#include <uthash.h>

struct bd_core;

/* The most tasks of a team, or of one class of it, that may be down by disruption at once. */
struct bd_budget_rule {
    char team[BD_NAME];      /* empty: of every team that has no rule of its own */
    char job_class[BD_NAME]; /* empty: all of the team's tasks */
    bool per_cent;           /* of the tasks that are to run; rounded down, at least one */
    double amount;
};

/* What may be down of a team, or of one class of it, and what is. */
struct bd_budget {
    int team;
    const struct bd_budget_rule *rule;
    uint32_t up, down;
    uint32_t silent; /* of those that are up: on machines whose reports are late */
};

#define BD_BUDGETS_A_JOB 2 /* its team's, and its class's */

/* One job's tasks, as far as they were ever seen running. */
struct bd_ledger_job {
    UT_hash_handle hh;
    const struct bd_job *job;
    roaring_bitmap_t *up, *down;
    uint32_t budgets[BD_BUDGETS_A_JOB];
    uint32_t nbudgets;
};

struct bd_ledger {
    struct bd_budget *budgets;
    uint32_t nbudgets;
    struct bd_ledger_job *jobs; /* hash by the job's address */
};

/* The settings and the rules must outlive it. Never NULL. */
struct bd_ledger *bd_ledger_new(const struct bd_settings *settings,
                                const struct bd_budget_rule *rules, uint32_t nrules);
void bd_ledger_clear(struct bd_ledger *ledger);
void bd_ledger_free(struct bd_ledger *ledger);

/* A task's state has changed. */
void bd_ledger_task(struct bd_core *core, struct bd_job *job, uint32_t i);
/* A job is over, or not ours to lead any more. */
void bd_ledger_forget(struct bd_core *core, const struct bd_job *job);
/* After a failover: all that is not seen running counts as down. */
void bd_ledger_leadership_acquired(struct bd_core *core);
/* Counts anew what is on machines whose heartbeats are late. */
void bd_ledger_update_silent(struct bd_core *core);

/* How many tasks may be down at all, and how many more may go down by our own doing. */
uint32_t bd_budget_allowed(const struct bd_budget *budget);
uint32_t bd_budget_remaining(const struct bd_budget *budget);
const char *bd_budget_team_name(const struct bd_core *core, const struct bd_budget *budget);
bool bd_ledger_is_up(const struct bd_ledger *ledger, const struct bd_job *job, uint32_t task);
/* The job's entry; NULL: its team has no budget. */
struct bd_ledger_job *bd_ledger_get_job(struct bd_core *core, const struct bd_job *job);
/* Tasks of the team (or of its class, if that has a budget of its own) that are down, and those
 * that are up; for tests and the log. */
void bd_ledger_count(const struct bd_core *core, const char *team, const char *job_class,
                     uint32_t *down, uint32_t *up);
#endif
