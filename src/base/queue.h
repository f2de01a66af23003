/* A bounded thread-safe FIFO queue of pointers. Every wait has a deadline.
 *
 * The queue owns its slots but not the items; the thread that takes an item owns it. Queues live as
 * long as the process.
 */
#ifndef BD_QUEUE_H
#define BD_QUEUE_H
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

struct bd_queue {
    pthread_mutex_t lock;     /* protects `items`, `head` and `count` */
    pthread_cond_t not_empty; /* signalled by bd_queue_put; waits use CLOCK_MONOTONIC */
    void **items;             /* circular buffer of `capacity` slots */
    size_t capacity;
    size_t head;  /* index of the oldest item */
    size_t count; /* items in the queue */
};

/* Initializes an empty queue of at most `capacity` items. Returns 0, or -1 if out of memory or
 * system resources; nothing needs to be freed then. */
int bd_queue_init(struct bd_queue *queue, size_t capacity);
/* Appends an item and wakes a waiting thread. Returns false if the queue is full; the caller then
 * keeps the item. */
bool bd_queue_put(struct bd_queue *queue, void *item);
/* Like bd_queue_put, but wakes no thread: a waiting thread takes the item at the next bd_queue_put
 * or when its wait ends. Avoids a context switch for items that are not urgent. */
bool bd_queue_put_without_wakeup(struct bd_queue *queue, void *item);
/* Takes up to `max` items, oldest first, and waits for the first one until `deadline`, an instant
 * of CLOCK_MONOTONIC (see bd_now). Returns the number of items taken; 0: the wait timed out. */
size_t bd_queue_take(struct bd_queue *queue, void **out, size_t max, struct timespec deadline);
#endif
