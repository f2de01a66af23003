/* The thread that keeps the replica of the jobs' records up to date: it lists all records first,
 * and then reads their changes. While this node leads, it also reads the delegates' and the drains'
 * records. */
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/kv_client_internal.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/timeutil.h"
#include "drain/drain.h"
#include "drain/drain_record.h"
#include "wire/wire.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include <malloc.h>
#include <stdatomic.h>
#include <stdio.h>

#define REFRESH_INTERVAL_S 0.2 /* in addition to the minimum, unless a read waits for a barrier */
#define REFRESH_INTERVAL_MIN_S 0.04 /* if a read waits for a barrier */
#define DELEGATES_INTERVAL_S 0.7
#define DRAINS_INTERVAL_S 1.0
#define HEAP_TRIM_DELAY_S 0.3 /* further large answers may follow */
#define PAGE_POLL_S 0.005     /* while the owner thread applies a page */
#define LIST_SETTLE_S 0.02    /* lets the owner thread set replica_revision after the last page */

/* The thread's own state. */
struct reader {
    struct bd_node *node;
    struct bd_http *http;
    uint64_t revision; /* changes up to this revision were read */
    bool must_list;    /* all records must be listed before changes can be read */
    struct timespec next_delegates_read_at, next_drains_read_at;
    struct timespec heap_trim_at; /* zero: no trim is wanted */
};

/* Posts one page to the owner thread, and waits until it is applied, so that only one page of the
 * many job records is in memory. Takes ownership of the page. */
static void post_page(struct bd_node *node, json_t *page, uint64_t store_revision,
                      struct timespec first_page_sent_at, bool is_last)
{
    bool ignored;
    struct bd_event *event = bd_event_new(BD_EVENT_REPLICA_LISTED);
    event->page.pairs = json_incref(bd_wire_read_pairs(page, &ignored));
    event->page.store_revision = store_revision;
    event->page.first_page_sent_at = first_page_sent_at;
    event->page.is_last = is_last;
    json_decref(page);
    atomic_store(&node->is_page_pending, true);
    bd_event_post(node, event);
    while (atomic_load(&node->is_page_pending))
        bd_sleep(PAGE_POLL_S);
}

/* Posts all records. The list counts as read at the time of its first page: later changes are read
 * again by refresh. */
static void list_jobs(const struct reader *reader)
{
    uint64_t store_revision = 0;
    struct timespec first_page_sent_at = bd_now();
    char after[BD_KV_KEY_BYTES] = "";
    bool has_more = true;
    while (has_more) {
        json_t *page =
            bd_kv_list_page(reader->node, reader->http, "j/", after, sizeof after, &has_more);
        if (!page) {
            bd_sleep(BD_KV_RETRY_S);
            return;
        }
        if (store_revision == 0)
            store_revision = bd_wire_read_store_revision(page);
        post_page(reader->node, page, store_revision, first_page_sent_at, !has_more);
    }
}

static void list_and_set_revision(struct reader *reader)
{
    list_jobs(reader);
    bd_sleep(LIST_SETTLE_S);
    reader->revision = atomic_load(&reader->node->replica_revision);
    reader->must_list = reader->revision == 0;
}

/* Reads the changes after reader->revision, and posts them. */
static void refresh(struct reader *reader)
{
    struct bd_node *node = reader->node;
    char path[96];
    struct bd_event *event = bd_event_new(BD_EVENT_REPLICA_REFRESHED);
    event->refresh.is_barrier = atomic_exchange(&node->is_barrier_requested, false);
    event->refresh.after_revision = reader->revision;
    event->refresh.sent_at = bd_now();
    snprintf(path, sizeof path, BD_PATH_REFRESH "j/&after=%llu&waitMs=0",
             (unsigned long long)reader->revision);
    long status =
        bd_kv_call(node, reader->http, "GET", path, NULL, BD_KV_TIMEOUT_S, &event->refresh.answer);
    bool needs_wakeup = event->refresh.is_barrier || status != BD_KV_OK;
    bool has_failed = status != BD_KV_OK && status != BD_KV_COMPACTED;
    event->refresh.is_answered = status == BD_KV_OK;
    atomic_store(&node->has_refresh_failed, has_failed);
    if (event->refresh.is_answered) {
        event->refresh.store_revision = bd_wire_read_store_revision(event->refresh.answer);
        needs_wakeup =
            needs_wakeup || json_array_size(bd_wire_read_change_log(event->refresh.answer)) > 0;
        if (event->refresh.store_revision > reader->revision)
            reader->revision = event->refresh.store_revision;
    }
    reader->must_list = status == BD_KV_COMPACTED;
    if (needs_wakeup)
        bd_event_post(node, event);
    else
        bd_event_post_without_wakeup(node, event); /* only its time of sending matters */
    if (has_failed)
        bd_sleep(BD_KV_RETRY_S);
}

static void read_delegates(const struct reader *reader)
{
    struct bd_event *event = bd_event_new(BD_EVENT_DELEGATE_RECORDS_READ);
    event->records.sent_at = bd_now();
    event->records.records = bd_kv_list(reader->node, reader->http, "p/");
    if (event->records.records)
        bd_event_post(reader->node, event);
    else
        bd_event_free(event);
}

/* The drains' own records are few, and read each time. The records of their machines are read only
 * when the owner thread needs them, and after the drains' records, so that the machines of every
 * listed drain are included. */
static void read_drains(const struct reader *reader)
{
    struct bd_event *event = bd_event_new(BD_EVENT_DRAIN_RECORDS_READ);
    event->records.sent_at = bd_now();
    event->records.records = bd_kv_list(reader->node, reader->http, BD_DRAIN_KEY_PREFIX);
    if (event->records.records && atomic_load(&reader->node->needs_drain_machine_records))
        event->records.machine_records =
            bd_kv_list(reader->node, reader->http, BD_DRAIN_MACHINES_KEY_PREFIX);
    if (event->records.records)
        bd_event_post(reader->node, event);
    else
        bd_event_free(event);
}

/* Whether the time *next has passed. If so, sets *next to an interval from now. */
static bool is_due(struct timespec *next, double interval_s)
{
    if (!bd_time_is_before(*next, bd_now()))
        return false;
    *next = bd_time_add(bd_now(), bd_secs(interval_s));
    return true;
}

static void read_leader_records(struct reader *reader)
{
    struct bd_node *node = reader->node;
    if (atomic_load(&node->is_leading) &&
        is_due(&reader->next_delegates_read_at, DELEGATES_INTERVAL_S))
        read_delegates(reader);
    if (node->settings.draining && atomic_load(&node->is_leading) &&
        is_due(&reader->next_drains_read_at, DRAINS_INTERVAL_S))
        read_drains(reader);
}

/* Returns the memory of large answers to the system once no more of them arrive. By itself the
 * allocator keeps it until the last block of an arena happens to be freed. */
static void trim_heap(struct reader *reader)
{
    struct timespec now = bd_now();
    if (atomic_exchange(&reader->node->is_heap_trim_wanted, false)) {
        reader->heap_trim_at = bd_time_add(now, bd_secs(HEAP_TRIM_DELAY_S));
        return;
    }
    if (bd_time_is_zero(reader->heap_trim_at) || bd_time_is_before(now, reader->heap_trim_at))
        return;
    reader->heap_trim_at = (struct timespec){0, 0};
    (void)malloc_trim(0);
}

/* Waits until the next refresh is due: after the minimum interval if a read waits for a barrier or
 * the reader is woken, otherwise after both intervals. A single wait covers both intervals, so that
 * an idle reader wakes only once for each refresh. */
static void wait_for_refresh(struct bd_node *node)
{
    void *wakeup;
    struct timespec earliest = bd_time_add(bd_now(), bd_secs(REFRESH_INTERVAL_MIN_S));
    struct timespec latest = bd_time_add(earliest, bd_secs(REFRESH_INTERVAL_S));
    if (!atomic_load(&node->is_barrier_requested))
        (void)bd_queue_take(&node->reader_wakeups, &wakeup, 1, latest);
    double remaining_s = bd_seconds_between(bd_now(), earliest);
    if (remaining_s > 0)
        bd_sleep(remaining_s);
}

void *bd_kv_reader_run(void *arg)
{
    struct bd_node *node = arg;
    struct reader reader = {.node = node, .must_list = true};
    reader.http = bd_http_new(1, bd_metrics_counter(node->metrics, BD_TRAFFIC_REFRESH));
    reader.next_delegates_read_at = reader.next_drains_read_at = bd_now();
    while (reader.http) {
        if (reader.must_list) {
            list_and_set_revision(&reader);
            continue;
        }
        refresh(&reader);
        read_leader_records(&reader);
        trim_heap(&reader);
        wait_for_refresh(node);
    }
    return NULL;
}
