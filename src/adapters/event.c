#include "adapters/event.h"
#include "adapters/node.h"
#include "base/queue.h"
#include "base/timeutil.h"
#include <stdlib.h>

struct bd_event *bd_event_new(enum bd_event_kind kind)
{
    struct bd_event *event = calloc(1, sizeof *event);
    if (!event)
        abort();
    event->kind = kind;
    return event;
}

void bd_event_free(struct bd_event *event)
{
    free(event->text);
    free(event->data);
    json_decref(event->json);
    json_decref(event->sets);
    json_decref(event->gain.receipts);
    json_decref(event->gain.intents);
    free(event);
}

void bd_event_post(struct bd_node *node, struct bd_event *event)
{
    event->queued = bd_now();
    /* the adapters' own words are few; the API server checks for room before it admits a request */
    while (!bd_queue_put(&node->events, event))
        bd_pause(0.01);
}

void bd_event_post_quietly(struct bd_node *node, struct bd_event *event)
{
    if (!bd_queue_put_quietly(&node->events, event))
        bd_event_post(node, event);
}
