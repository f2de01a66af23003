/* The disruption ledger: counts of the tasks that are down, by team and by job class.
 *
 * A task is down from the moment a stop of it is requested, or it is lost, until its next attempt
 * is seen running. Machine failures, spot notices, task failures, preemption, consolidation and
 * drains all count; only voluntary disruption is checked against the budgets first. A new leader
 * counts tasks of unknown state as down: a command from an earlier leader may be in flight until
 * the machine's heartbeat shows the new term.
 *
 * Owns `struct bd_ledger`; only the functions here change it. model/ and workers/ report the
 * changes of tasks, jobs/ and leadership/ the end of jobs. drain/ resets and queries it, core/
 * creates it. Used as leader only, and only while draining is on (else core->ledger is NULL). */
#ifndef BD_DISRUPTION_LEDGER_H
#define BD_DISRUPTION_LEDGER_H
#include "brambledoor/settings.h"
#include "model/job.h"
#include <roaring/roaring.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

struct bd_core;

/* The maximum number of tasks of a team, or of one of its job classes, that may be down at the same
 * time. */
struct bd_budget_rule {
    char team[BD_NAME_BYTES];      /* empty: every team without a rule of its own */
    char job_class[BD_NAME_BYTES]; /* empty: all of the team's tasks */
    /* amount is a percentage of the tasks that are up or down. The result is rounded down, but is
     * at least 1 unless amount is 0. */
    bool is_percentage;
    double amount;
};

/* The counts of the tasks to which one rule applies, for one team. */
struct bd_budget {
    int team; /* index in the settings */
    const struct bd_budget_rule *rule;
    uint32_t up, down;
    uint32_t unresponsive; /* tasks that count as up, but whose machines may have failed */
};

#define BD_BUDGETS_PER_JOB 2 /* one for its team, one for its class */

/* The tasks of a job that count as up or down, as sets of their indices. */
struct bd_ledger_job {
    UT_hash_handle hh;
    const struct bd_job *job;
    roaring_bitmap_t *up, *down;
    uint32_t budgets[BD_BUDGETS_PER_JOB]; /* indices into bd_ledger.budgets */
    uint32_t nbudgets;
};

struct bd_ledger {
    struct bd_budget *budgets; /* those of the teams in their order, then those of job classes */
    uint32_t nbudgets;
    struct bd_ledger_job *jobs; /* hash by the job's address */
};

/* The settings and the rules must outlive the ledger. Never NULL; aborts if out of memory. */
struct bd_ledger *bd_ledger_new(const struct bd_settings *settings,
                                const struct bd_budget_rule *rules, uint32_t nrules);
/* Removes all jobs. */
void bd_ledger_clear(struct bd_ledger *ledger);
void bd_ledger_free(struct bd_ledger *ledger);

/* Updates the counts after a change of the task's state. */
void bd_ledger_update_task(struct bd_core *core, struct bd_job *job, uint32_t index);
/* Removes a job that has ended, or is no longer tracked by this controller. */
void bd_ledger_remove_job(struct bd_core *core, const struct bd_job *job);
/* Resets the ledger after a failover: all tasks that may have run count as down. */
void bd_ledger_leadership_acquired(struct bd_core *core);
/* Recounts the tasks on machines that may have failed. */
void bd_ledger_update_unresponsive(struct bd_core *core);

/* The number of tasks that may be down at the same time. */
uint32_t bd_budget_allowed(const struct bd_budget *budget);
/* The number of further tasks that voluntary disruption may take down now. */
uint32_t bd_budget_remaining(const struct bd_budget *budget);
const char *bd_budget_team_name(const struct bd_core *core, const struct bd_budget *budget);
bool bd_ledger_is_up(const struct bd_ledger *ledger, const struct bd_job *job, uint32_t task);
/* Returns the job's entry, and adds it if there is none. NULL: the job's team is unknown. */
struct bd_ledger_job *bd_ledger_get_job(struct bd_core *core, const struct bd_job *job);
/* Gets the counts of the team's budget, or of its job class's if job_class is not empty; for
 * tests. */
void bd_ledger_get_counts(const struct bd_core *core, const char *team, const char *job_class,
                          uint32_t *down, uint32_t *up);
#endif
