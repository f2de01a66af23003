/* Receipts: bit sets of the completed tasks of a job, in chunks. A worker may delete a task's
 * result once the receipt is committed. Part of the pure core. */
#include "leadership/leadership_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/task.h"
#include "model/task_state.h"
#include "model/task_table.h"
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

/* The size of a bit set of the tasks. */
static uint32_t bit_set_bytes(uint32_t ntasks)
{
    return (ntasks + 7) / 8;
}

size_t bd_receipt_value_bytes(const struct bd_job *job, uint32_t chunk)
{
    return tasks_in_chunk(job, chunk) / 4 + VALUE_SYNTAX_BYTES;
}

void bd_receipt_fill(struct bd_receipt *receipt, struct bd_job *job, uint32_t chunk)
{
    const uint8_t *done = bd_task_table_done_bits(job->tasks, chunk * BD_RECEIPT_CHUNK_TASKS);
    receipt->job = job;
    receipt->chunk = chunk;
    memset(receipt->bits, 0, sizeof receipt->bits);
    if (done)
        memcpy(receipt->bits, done, bit_set_bytes(tasks_in_chunk(job, chunk)));
}

json_t *bd_receipt_value(const struct bd_receipt *receipt)
{
    char hex[BD_RECEIPT_CHUNK_TASKS / 4 + 1];
    uint32_t bytes = bit_set_bytes(tasks_in_chunk(receipt->job, receipt->chunk));
    for (uint32_t i = 0; i < bytes; i++) {
        hex[(size_t)2 * i] = hex_digits[receipt->bits[i] >> 4];
        hex[(size_t)2 * i + 1] = hex_digits[receipt->bits[i] & 15];
    }
    hex[(size_t)2 * bytes] = '\0';
    return json_pack("{s:s}", "b", hex);
}

/* The value of a hex digit; 0: it is none. */
static uint8_t hex_value(char digit)
{
    const char *position = strchr(hex_digits, digit);
    return position ? (uint8_t)(position - hex_digits) : 0;
}

/* Reads the bit set of a chunk's done tasks. Of each byte, the first digit is the upper half. */
static void read_bits(struct bd_receipt *receipt, const char *hex)
{
    memset(receipt->bits, 0, sizeof receipt->bits);
    for (size_t i = 0; hex[i] && i / 2 < sizeof receipt->bits; i++)
        receipt->bits[i / 2] |= (uint8_t)(hex_value(hex[i]) << (i % 2 ? 0 : 4));
}

/* Marks the tasks in the receipt as done, with a committed receipt. */
static void load_done_tasks(const struct bd_receipt *receipt)
{
    struct bd_job *job = receipt->job;
    uint32_t first = receipt->chunk * BD_RECEIPT_CHUNK_TASKS;
    uint32_t ntasks = tasks_in_chunk(job, receipt->chunk);
    for (uint32_t i = 0; i < ntasks; i++)
        if (receipt->bits[i / 8] >> (i % 8) & 1)
            bd_task_load_done(job, first + i);
    (void)bd_task_table_commit_receipts(job->tasks, first, receipt->bits, ntasks);
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
    struct bd_receipt receipt = {.job = job, .chunk = chunk};
    read_bits(&receipt, hex);
    load_done_tasks(&receipt);
    if (job->ndone == job->ntasks)
        job->dirty = true;
}

void bd_receipt_mark_committed(const struct bd_receipt *receipt)
{
    struct bd_job *job = receipt->job;
    if (!job->tasks)
        return;
    job->receipt_chunks |= 1ull << receipt->chunk;
    bool is_complete =
        bd_task_table_commit_receipts(job->tasks, receipt->chunk * BD_RECEIPT_CHUNK_TASKS,
                                      receipt->bits, tasks_in_chunk(job, receipt->chunk));
    if (is_complete)
        job->dirty_chunks &= ~(1u << receipt->chunk);
    job->dirty = job->dirty_chunks != 0;
}
