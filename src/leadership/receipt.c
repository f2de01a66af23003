/* Receipts: which tasks of a job are done, in chunks of a bit for each task. A worker may drop a
 * result once its receipt is committed. Part of the pure core. */
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

/* Tasks of the job in the chunk. */
static uint32_t chunk_tasks(const struct bd_job *job, uint32_t chunk)
{
    uint32_t first = chunk * BD_RECEIPT_CHUNK_TASKS;
    if (first >= job->ntasks)
        return 0;
    uint32_t rest = job->ntasks - first;
    return rest < BD_RECEIPT_CHUNK_TASKS ? rest : BD_RECEIPT_CHUNK_TASKS;
}

static bool receipt_shows(const struct bd_receipt *receipt, uint32_t i)
{
    return receipt->bits[i / 8] >> (i % 8) & 1;
}

size_t bd_receipt_value_bytes(const struct bd_job *job, uint32_t chunk)
{
    return chunk_tasks(job, chunk) / 4 + VALUE_SYNTAX_BYTES;
}

void bd_receipt_fill(struct bd_receipt *receipt, struct bd_job *job, uint32_t chunk)
{
    const struct bd_task *tasks = job->tasks + (size_t)chunk * BD_RECEIPT_CHUNK_TASKS;
    uint32_t n = chunk_tasks(job, chunk);
    receipt->job = job;
    receipt->chunk = chunk;
    memset(receipt->bits, 0, sizeof receipt->bits);
    for (uint32_t i = 0; i < n; i++)
        if (tasks[i].state == BD_TASK_DONE)
            receipt->bits[i / 8] |= (unsigned char)(1u << (i % 8));
}

json_t *bd_receipt_value(const struct bd_receipt *receipt)
{
    char text[BD_RECEIPT_CHUNK_TASKS / 4 + 1];
    uint32_t bytes = (chunk_tasks(receipt->job, receipt->chunk) + 7) / 8;
    for (uint32_t i = 0; i < bytes; i++) {
        text[(size_t)2 * i] = hex_digits[receipt->bits[i] >> 4];
        text[(size_t)2 * i + 1] = hex_digits[receipt->bits[i] & 15];
    }
    text[(size_t)2 * bytes] = '\0';
    return json_pack("{s:s}", "b", text);
}

static void load_task(struct bd_core *core, struct bd_job *job, uint32_t task)
{
    if (job->tasks[task].state != BD_TASK_DONE)
        bd_task_set_state(core, job, task, BD_TASK_DONE);
    job->tasks[task].flags |= BD_TASK_FLAG_RECEIPT_COMMITTED;
}

/* A byte's two digits cover eight tasks, the first digit the upper four. */
static void load_digit(struct bd_core *core, struct bd_job *job, uint32_t first_task, char digit)
{
    const char *found = strchr(hex_digits, digit);
    if (!found)
        return;
    for (uint32_t bit = 0; bit < 4; bit++)
        if ((found - hex_digits) >> bit & 1 && first_task + bit < job->ntasks)
            load_task(core, job, first_task + bit);
}

void bd_receipt_load(struct bd_core *core, const char *key, json_t *value)
{
    char id[BD_JOB_ID_BYTES];
    uint32_t chunk = 0;
    if (strncmp(key, "r/", 2) != 0 || !bd_wire_read_task_name(key + 2, id, &chunk))
        return;
    struct bd_job *job = bd_job_find(core, id);
    const char *text = json_string_value(json_object_get(value, "b"));
    if (!job || !text || chunk >= BD_RECEIPT_CHUNKS_MAX)
        return;
    job->receipt_chunks |= 1ull << chunk;
    if (!job->tasks)
        return;
    for (uint32_t i = 0; text[i]; i++) {
        uint32_t byte = i / 2, offset = i % 2 ? 0 : 4;
        load_digit(core, job, chunk * BD_RECEIPT_CHUNK_TASKS + byte * 8 + offset, text[i]);
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
    uint32_t n = chunk_tasks(job, receipt->chunk);
    bool is_complete = true;
    for (uint32_t i = 0; i < n; i++) {
        if (receipt_shows(receipt, i))
            tasks[i].flags |= BD_TASK_FLAG_RECEIPT_COMMITTED;
        else if (tasks[i].state == BD_TASK_DONE)
            is_complete = false;
    }
    if (is_complete)
        job->dirty_chunks &= ~(1u << receipt->chunk);
    job->dirty = job->dirty_chunks != 0;
}
