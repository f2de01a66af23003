#include "base/queue.h"
#include <stdlib.h>
#include <string.h>

/* Returns 0 or an error number, like the pthread functions. */
static int init_monotonic_condition(pthread_cond_t *condition)
{
    pthread_condattr_t attr;
    int error = pthread_condattr_init(&attr);
    if (error != 0)
        return error;
    error = pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    if (error == 0)
        error = pthread_cond_init(condition, &attr);
    (void)pthread_condattr_destroy(&attr);
    return error;
}

int bd_queue_init(struct bd_queue *queue, size_t capacity)
{
    memset(queue, 0, sizeof *queue);
    queue->capacity = capacity;
    queue->items = calloc(capacity, sizeof *queue->items);
    if (!queue->items)
        return -1;
    if (pthread_mutex_init(&queue->lock, NULL) != 0)
        goto free_items;
    if (init_monotonic_condition(&queue->not_empty) != 0)
        goto destroy_lock;
    return 0;

destroy_lock:
    (void)pthread_mutex_destroy(&queue->lock);
free_items:
    free(queue->items);
    queue->items = NULL;
    return -1;
}

bool bd_queue_put_without_wakeup(struct bd_queue *queue, void *item)
{
    (void)pthread_mutex_lock(&queue->lock);
    bool has_space = queue->count < queue->capacity;
    if (has_space) {
        queue->items[(queue->head + queue->count) % queue->capacity] = item;
        queue->count++;
    }
    (void)pthread_mutex_unlock(&queue->lock);
    return has_space;
}

bool bd_queue_put(struct bd_queue *queue, void *item)
{
    bool was_put = bd_queue_put_without_wakeup(queue, item);
    if (was_put) /* signalled without the lock: the woken thread would wait for it */
        (void)pthread_cond_signal(&queue->not_empty);
    return was_put;
}

size_t bd_queue_take(struct bd_queue *queue, void **out, size_t max, struct timespec deadline)
{
    size_t taken = 0;
    (void)pthread_mutex_lock(&queue->lock);
    while (queue->count == 0)
        if (pthread_cond_timedwait(&queue->not_empty, &queue->lock, &deadline) != 0)
            break;
    while (taken < max && queue->count > 0) {
        out[taken++] = queue->items[queue->head];
        queue->head = (queue->head + 1) % queue->capacity;
        queue->count--;
    }
    (void)pthread_mutex_unlock(&queue->lock);
    return taken;
}
