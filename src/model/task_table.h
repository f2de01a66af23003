/* The tasks of one job, as the leader tracks them. Only a task with an attempt has a record; every
 * other task is pending or done, which takes at most a few bits. So the memory of a table follows
 * the tasks that are alive, not the number of tasks that a user submitted. The table of a small job
 * keeps its one page of records.
 *
 * Owned by a job. Records are added and removed by task_state.c, and by leadership/ while a new
 * term loads receipts and intents. */
#ifndef BD_TASK_TABLE_H
#define BD_TASK_TABLE_H
#include "model/job.h"
#include "model/task.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BD_TASK_PAGE_TASKS 32u /* the bits of bd_task_page.used */

/* The records of up to BD_TASK_PAGE_TASKS tasks with consecutive indexes. */
struct bd_task_page {
    uint32_t used; /* bit set of the tasks with a record */
    struct bd_task records[];
};

struct bd_task_table {
    uint32_t ntasks, nrecords;
    struct bd_task_page **pages; /* owned array of owned pages; NULL: no task has a record */
    /* owned bit sets, a byte for each eight tasks; NULL: no task is done */
    uint8_t *done, *receipt_committed;
};

/* A table whose tasks are all pending. NULL: out of memory. */
struct bd_task_table *bd_task_table_new(uint32_t ntasks);
void bd_task_table_free(struct bd_task_table *table);
/* The bytes that the table has allocated. */
size_t bd_task_table_bytes(const struct bd_task_table *table);

/* The task's record; NULL: it has none. Valid until a record of the table is removed. */
static inline struct bd_task *bd_task_table_record(const struct bd_task_table *table,
                                                   uint32_t index)
{
    if (!table->pages)
        return NULL;
    struct bd_task_page *page = table->pages[index / BD_TASK_PAGE_TASKS];
    uint32_t slot = index % BD_TASK_PAGE_TASKS;
    return page && page->used >> slot & 1 ? &page->records[slot] : NULL;
}

/* Whether the task is done. */
static inline bool bd_task_table_is_done(const struct bd_task_table *table, uint32_t index)
{
    return table->done && table->done[index / 8] >> (index % 8) & 1;
}

/* The state of a task without a record. Its index is not set. */
const struct bd_task *bd_task_table_idle_task(const struct bd_task_table *table, uint32_t index);

/* The task's state, also without a record. Valid until a record of the table is removed. */
static inline const struct bd_task *bd_task_table_get(const struct bd_task_table *table,
                                                      uint32_t index)
{
    const struct bd_task *record = bd_task_table_record(table, index);
    return record ? record : bd_task_table_idle_task(table, index);
}

/* Adds a record to a pending task that has none. NULL: out of memory. */
struct bd_task *bd_task_table_add(struct bd_task_table *table, uint32_t index);
/* Removes the task's record, if it has one. The task is pending then. */
void bd_task_table_remove(struct bd_task_table *table, uint32_t index);

/* Allocates what bd_task_table_set_done needs. False: out of memory. */
bool bd_task_table_reserve_done(struct bd_task_table *table);
/* Removes the task's record and marks the task as done. Needs bd_task_table_reserve_done. */
void bd_task_table_set_done(struct bd_task_table *table, uint32_t index);
/* The bit set of the done tasks from task `first` on, a multiple of 8. NULL: none is done. */
const uint8_t *bd_task_table_done_bits(const struct bd_task_table *table, uint32_t first);
/* Marks the receipts of the tasks in the bit set as committed. bits: of `ntasks` tasks from task
 * `first` on, a multiple of 8; all of them are done. Returns whether the bit set has all of these
 * tasks that are done. */
bool bd_task_table_commit_receipts(struct bd_task_table *table, uint32_t first, const uint8_t *bits,
                                   uint32_t ntasks);

/* The record of a task that is not done, added if it has none. NULL: out of memory. */
static inline struct bd_task *bd_task_table_get_or_add(struct bd_task_table *table, uint32_t index)
{
    struct bd_task *record = bd_task_table_record(table, index);
    return record ? record : bd_task_table_add(table, index);
}

/* The first task from `from` on that has a record; the number of tasks if there is none. */
uint32_t bd_task_table_next_record(const struct bd_task_table *table, uint32_t from);
/* The first pending task from `from` on; the number of tasks if there is none. */
uint32_t bd_task_table_next_pending(const struct bd_task_table *table, uint32_t from);

/* The state of the job's task. The job must be tracked. Valid until a record of the job is removed.
 */
static inline const struct bd_task *bd_job_task(const struct bd_job *job, uint32_t index)
{
    return bd_task_table_get(job->tasks, index);
}

/* The record of the job's task; NULL: it has none. A task with a reservation always has one. */
static inline struct bd_task *bd_job_task_record(const struct bd_job *job, uint32_t index)
{
    return bd_task_table_record(job->tasks, index);
}
#endif
