#include "adapters/event.h"
#include "adapters/node.h"
#include "base/queue.h"
#include "base/timeutil.h"
#include "wire/wire_store.h"
#include <jansson.h>
#include <stdlib.h>

/* Rare, because the API server's limit of pending requests is below the queue's capacity. */
#define QUEUE_FULL_PAUSE_S 0.01

struct bd_event *bd_event_new(enum bd_event_kind kind)
{
    struct bd_event *event = calloc(1, sizeof *event);
    if (!event)
        abort();
    event->kind = kind;
    return event;
}

/* Frees what events from the key-value store's client and the election own. */
static void free_store_payload(struct bd_event *event)
{
    switch (event->kind) {
    case BD_EVENT_USER_TXN_COMPLETED:
        free(event->user_txn.body);
        break;
    case BD_EVENT_JOB_LOOKUP_COMPLETED:
        json_decref(event->job_lookup.answer);
        break;
    case BD_EVENT_LEADER_TXN_COMPLETED:
        json_decref(event->leader_txn.answer);
        break;
    case BD_EVENT_REPLICA_REFRESHED:
        json_decref(event->refresh.answer);
        break;
    case BD_EVENT_REPLICA_LISTED:
        json_decref(event->page.pairs);
        break;
    case BD_EVENT_DELEGATE_RECORDS_READ:
    case BD_EVENT_DRAIN_RECORDS_READ:
        json_decref(event->records.records);
        json_decref(event->records.machine_records);
        break;
    case BD_EVENT_LEADERSHIP_ACQUIRED:
        json_decref(event->acquired.acquisition.receipts);
        json_decref(event->acquired.acquisition.intents);
        break;
    default:
        break;
    }
}

size_t bd_event_record_count(const struct bd_event *event)
{
    switch (event->kind) {
    case BD_EVENT_REPLICA_REFRESHED:
        return json_array_size(bd_wire_read_change_log(event->refresh.answer));
    case BD_EVENT_REPLICA_LISTED:
        return json_array_size(event->page.pairs);
    case BD_EVENT_LEADERSHIP_ACQUIRED:
        return json_array_size(event->acquired.acquisition.receipts) +
               json_array_size(event->acquired.acquisition.intents);
    default:
        return 0;
    }
}

void bd_event_free(struct bd_event *event)
{
    switch (event->kind) {
    case BD_EVENT_USER_SUBMIT:
    case BD_EVENT_USER_STATUS:
    case BD_EVENT_USER_CANCEL:
    case BD_EVENT_HEARTBEAT:
        free(event->api_request.text);
        break;
    case BD_EVENT_DIRECT_COMMAND_COMPLETED:
        free(event->direct_command.text);
        break;
    case BD_EVENT_MACHINE_TYPES_READ:
        free(event->machine_types.types);
        break;
    case BD_EVENT_INVENTORY_READ:
        free(event->inventory.machines);
        break;
    case BD_EVENT_SCALE_OUT_COMPLETED:
    case BD_EVENT_SCALE_IN_COMPLETED:
        free(event->scaling.machines);
        break;
    case BD_EVENT_PEER_FRAME_RECEIVED:
        free(event->peer_frame.frame);
        free(event->peer_frame.text);
        break;
    default:
        free_store_payload(event);
    }
    free(event);
}

void bd_event_post(struct bd_node *node, struct bd_event *event)
{
    event->queued_at = bd_now();
    while (!bd_queue_put(&node->events, event))
        bd_sleep(QUEUE_FULL_PAUSE_S);
}

void bd_event_post_without_wakeup(struct bd_node *node, struct bd_event *event)
{
    if (!bd_queue_put_without_wakeup(&node->events, event))
        bd_event_post(node, event);
}
