/* Receipts: bit sets of the completed tasks of a job, in chunks. A worker may delete a task's
 * result once the receipt is committed. Part of the pure core. */
#include "leadership/leadership_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include <string.h>

#define VALUE_SYNTAX_BYTES 16u /* of {"b":"..."} */

static const char hex_digits[] = "0123456789abcdef";

/* The number of the job's tasks in the chunk. */
static uint32_t tasks_in_chunk(const struct bd_job *job, uint32_t chunk)
{
    uint32_t first = chunk * BD_RECEIPT_CHUNK_TASKS;
    if (first >= job->ntasks)
        return 0;
    uint32_t remaining = job->ntasks - first;
    return remaining < BD_RECEIPT_CHUNK_TASKS ? remaining : BD_RECEIPT_CHUNK_TASKS;
}

/* Whether the receipt shows that the task is done. index: of the task in the chunk. */
static bool receipt_has_task(const struct bd_receipt *receipt, uint32_t index)
{
    return receipt->bits[index / 8] >> (index % 8) & 1;
}

size_t bd_receipt_value_bytes(const struct bd_job *job, uint32_t chunk)
{
    return tasks_in_chunk(job, chunk) / 4 + VALUE_SYNTAX_BYTES;
}

void bd_receipt_fill(struct bd_receipt *receipt, struct bd_job *job, uint32_t chunk)
{
    const struct bd_task *tasks = job->tasks + (size_t)chunk * BD_RECEIPT_CHUNK_TASKS;
    uint32_t ntasks = tasks_in_chunk(job, chunk);
    receipt->job = job;
    receipt->chunk = chunk;
    memset(receipt->bits, 0, sizeof receipt->bits);
    for (uint32_t i = 0; i < ntasks; i++)
        if (tasks[i].state == BD_TASK_DONE)
            receipt->bits[i / 8] |= (unsigned char)(1u << (i % 8));
}

json_t *bd_receipt_value(const struct bd_receipt *receipt)
{
    char hex[BD_RECEIPT_CHUNK_TASKS / 4 + 1];
    uint32_t bytes = (tasks_in_chunk(receipt->job, receipt->chunk) + 7) / 8;
    for (uint32_t i = 0; i < bytes; i++) {
        hex[(size_t)2 * i] = hex_digits[receipt->bits[i] >> 4];
        hex[(size_t)2 * i + 1] = hex_digits[receipt->bits[i] & 15];
    }
    hex[(size_t)2 * bytes] = '\0';
    return json_pack("{s:s}", "b", hex);
}

static void load_completed_task(struct bd_core *core, struct bd_job *job, uint32_t task)
{
    if (job->tasks[task].state != BD_TASK_DONE)
        bd_task_set_state(core, job, task, BD_TASK_DONE);
    job->tasks[task].flags |= BD_TASK_FLAG_RECEIPT_COMMITTED;
}

/* Loads four tasks from a hex digit. Two digits are a byte of eight tasks; the first digit holds
 * the upper four. */
static void load_hex_digit(struct bd_core *core, struct bd_job *job, uint32_t first_task,
                           char digit)
{
    const char *position = strchr(hex_digits, digit);
    if (!position)
        return;
    for (uint32_t bit = 0; bit < 4; bit++)
        if ((position - hex_digits) >> bit & 1 && first_task + bit < job->ntasks)
            load_completed_task(core, job, first_task + bit);
}

void bd_receipt_load(struct bd_core *core, const char *key, json_t *value)
{
    char id[BD_JOB_ID_BYTES];
    uint32_t chunk = 0;
    if (strncmp(key, "r/", 2) != 0 || !bd_wire_read_task_name(key + 2, id, &chunk))
        return;
    struct bd_job *job = bd_job_find(core, id);
    const char *hex = json_string_value(json_object_get(value, "b"));
    if (!job || !hex || chunk >= BD_RECEIPT_CHUNKS_MAX)
        return;
    job->receipt_chunks |= 1ull << chunk;
    if (!job->tasks)
        return;
    for (uint32_t i = 0; hex[i]; i++) {
        uint32_t byte = i / 2, offset = i % 2 ? 0 : 4;
        load_hex_digit(core, job, chunk * BD_RECEIPT_CHUNK_TASKS + byte * 8 + offset, hex[i]);
    }
    if (job->ndone == job->ntasks)
        job->dirty = true;
}

void bd_receipt_mark_committed(const struct bd_receipt *receipt)
{
    struct bd_job *job = receipt->job;
    if (!job->tasks)
        return;
    job->receipt_chunks |= 1ull << receipt->chunk;
    struct bd_task *tasks = job->tasks + (size_t)receipt->chunk * BD_RECEIPT_CHUNK_TASKS;
    uint32_t ntasks = tasks_in_chunk(job, receipt->chunk);
    bool is_complete = true;
    for (uint32_t i = 0; i < ntasks; i++) {
        if (receipt_has_task(receipt, i))
            tasks[i].flags |= BD_TASK_FLAG_RECEIPT_COMMITTED;
        else if (tasks[i].state == BD_TASK_DONE)
            is_complete = false;
    }
    if (is_complete)
        job->dirty_chunks &= ~(1u << receipt->chunk);
    job->dirty = job->dirty_chunks != 0;
}
