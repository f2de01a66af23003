#include "model/task_table.h"
#include <stdlib.h>

#define FULL_BYTE 0xffu /* of a bit set */

static const struct bd_task pending_task = {.machine = BD_NO_MACHINE, .state = BD_TASK_PENDING};
static const struct bd_task done_task = {.machine = BD_NO_MACHINE, .state = BD_TASK_DONE};
static const struct bd_task done_task_with_receipt = {
    .machine = BD_NO_MACHINE, .state = BD_TASK_DONE, .flags = BD_TASK_FLAG_RECEIPT_COMMITTED};

static size_t page_count(const struct bd_task_table *table)
{
    return ((size_t)table->ntasks + BD_TASK_PAGE_TASKS - 1) / BD_TASK_PAGE_TASKS;
}

static size_t bit_set_bytes(const struct bd_task_table *table)
{
    return ((size_t)table->ntasks + 7) / 8;
}

static size_t page_bytes(const struct bd_task_table *table, size_t number)
{
    size_t tasks = table->ntasks - number * BD_TASK_PAGE_TASKS;
    tasks = tasks < BD_TASK_PAGE_TASKS ? tasks : BD_TASK_PAGE_TASKS;
    return sizeof(struct bd_task_page) + tasks * sizeof(struct bd_task);
}

/* ---- lifetime ---- */

struct bd_task_table *bd_task_table_new(uint32_t ntasks)
{
    struct bd_task_table *table = calloc(1, sizeof *table);
    if (table)
        table->ntasks = ntasks;
    return table;
}

static void free_pages(struct bd_task_table *table)
{
    for (size_t i = 0; table->pages && i < page_count(table); i++)
        free(table->pages[i]);
    free(table->pages);
    table->pages = NULL;
}

void bd_task_table_free(struct bd_task_table *table)
{
    if (!table)
        return;
    free_pages(table);
    free(table->done);
    free(table->receipt_committed);
    free(table);
}

size_t bd_task_table_bytes(const struct bd_task_table *table)
{
    size_t bytes = sizeof *table;
    if (table->done)
        bytes += 2 * bit_set_bytes(table);
    if (!table->pages)
        return bytes;
    bytes += page_count(table) * sizeof *table->pages;
    for (size_t i = 0; i < page_count(table); i++)
        bytes += table->pages[i] ? page_bytes(table, i) : 0;
    return bytes;
}

/* ---- records ---- */

const struct bd_task *bd_task_table_idle_task(const struct bd_task_table *table, uint32_t index)
{
    if (!bd_task_table_is_done(table, index))
        return &pending_task;
    bool has_receipt = table->receipt_committed[index / 8] >> (index % 8) & 1;
    return has_receipt ? &done_task_with_receipt : &done_task;
}

/* Allocates the page of the task. NULL: out of memory. */
static struct bd_task_page *add_page(struct bd_task_table *table, uint32_t index)
{
    size_t number = index / BD_TASK_PAGE_TASKS;
    if (!table->pages)
        table->pages = calloc(page_count(table), sizeof(struct bd_task_page *));
    if (!table->pages)
        return NULL;
    struct bd_task_page *page = malloc(page_bytes(table, number));
    if (page)
        page->used = 0;
    table->pages[number] = page;
    return page;
}

struct bd_task *bd_task_table_add(struct bd_task_table *table, uint32_t index)
{
    uint32_t slot = index % BD_TASK_PAGE_TASKS;
    struct bd_task_page *page = table->pages ? table->pages[index / BD_TASK_PAGE_TASKS] : NULL;
    if (!page)
        page = add_page(table, index);
    if (!page)
        return NULL;
    page->used |= 1u << slot;
    page->records[slot] = pending_task;
    page->records[slot].index = index;
    table->nrecords++;
    return &page->records[slot];
}

void bd_task_table_remove(struct bd_task_table *table, uint32_t index)
{
    size_t number = index / BD_TASK_PAGE_TASKS;
    if (!bd_task_table_record(table, index))
        return;
    struct bd_task_page *page = table->pages[number];
    page->used &= ~(1u << index % BD_TASK_PAGE_TASKS);
    table->nrecords--;
    if (page_count(table) == 1) /* kept for the next attempt of a small job */
        return;
    if (page->used == 0) {
        free(page);
        table->pages[number] = NULL;
    }
    if (table->nrecords == 0)
        free_pages(table);
}

/* ---- done tasks ---- */

bool bd_task_table_reserve_done(struct bd_task_table *table)
{
    if (!table->done)
        table->done = calloc(1, bit_set_bytes(table));
    if (!table->receipt_committed)
        table->receipt_committed = calloc(1, bit_set_bytes(table));
    return table->done && table->receipt_committed;
}

void bd_task_table_set_done(struct bd_task_table *table, uint32_t index)
{
    bd_task_table_remove(table, index);
    table->done[index / 8] |= (uint8_t)(1u << index % 8);
}

const uint8_t *bd_task_table_done_bits(const struct bd_task_table *table, uint32_t first)
{
    return table->done ? table->done + first / 8 : NULL;
}

bool bd_task_table_commit_receipts(struct bd_task_table *table, uint32_t first, const uint8_t *bits,
                                   uint32_t ntasks)
{
    bool has_all = true;
    if (!table->done)
        return true;
    for (uint32_t i = 0; i < (ntasks + 7) / 8; i++) {
        uint8_t done = table->done[first / 8 + i];
        table->receipt_committed[first / 8 + i] |= bits[i] & done;
        has_all = has_all && !(done & ~bits[i]);
    }
    return has_all;
}

/* ---- searches ---- */

uint32_t bd_task_table_next_record(const struct bd_task_table *table, uint32_t from)
{
    uint32_t index = from;
    while (table->pages && index < table->ntasks) {
        const struct bd_task_page *page = table->pages[index / BD_TASK_PAGE_TASKS];
        uint32_t slot = index % BD_TASK_PAGE_TASKS;
        uint32_t rest = page ? page->used >> slot : 0;
        if (rest)
            return index + (uint32_t)__builtin_ctz(rest);
        index += BD_TASK_PAGE_TASKS - slot;
    }
    return table->ntasks;
}

uint32_t bd_task_table_next_pending(const struct bd_task_table *table, uint32_t from)
{
    uint32_t index = from;
    while (index < table->ntasks) {
        if (table->done && table->done[index / 8] == FULL_BYTE)
            index += 8 - index % 8;
        else if (bd_task_table_get(table, index)->state == BD_TASK_PENDING)
            return index;
        else
            index++;
    }
    return table->ntasks;
}
