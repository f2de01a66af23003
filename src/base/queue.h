/* A bounded first-in, first-out queue of pointers between threads; every wait has a deadline.
 *
 * The queue owns its slots, not the items: what is put in belongs to whoever takes it out. Any
 * thread may put and take. Queues live as long as the process.
 */
#ifndef BD_QUEUE_H
#define BD_QUEUE_H
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

struct bd_queue {
    pthread_mutex_t lock;     /* protects the fields below it */
    pthread_cond_t not_empty; /* signalled when an item was put; measured on CLOCK_MONOTONIC */
    void **items;             /* `capacity` slots, used in turn */
    size_t capacity;
    size_t head;  /* slot of the oldest item */
    size_t count; /* items in the queue */
};

/* Makes an empty queue of at most `capacity` items. 0, or -1: out of memory or of the system's
 * resources; nothing is left to be freed. */
int bd_queue_init(struct bd_queue *queue, size_t capacity);
/* Appends an item and wakes a thread that waits. False: full, the caller keeps the item. */
bool bd_queue_put(struct bd_queue *queue, void *item);
/* Appends without waking a thread: the item is taken together with the next one that is put, or
 * when a wait under way ends. For what is not urgent, to save the switch between threads. */
bool bd_queue_put_without_wakeup(struct bd_queue *queue, void *item);
/* Takes up to `max` items, oldest first, waiting for the first one until an instant of
 * CLOCK_MONOTONIC (see bd_now). Returns how many were taken; 0: none came. */
size_t bd_queue_take(struct bd_queue *queue, void **out, size_t max, struct timespec until);
#endif
