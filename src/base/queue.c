#include "base/queue.h"
#include <stdlib.h>
#include <string.h>

int bd_queue_init(struct bd_queue *q, size_t cap)
{
    pthread_condattr_t attr;
    memset(q, 0, sizeof *q);
    q->cap = cap;
    q->items = calloc(cap, sizeof *q->items);
    if (!q->items || pthread_mutex_init(&q->lock, NULL) != 0 || pthread_condattr_init(&attr) != 0)
        return -1;
    if (pthread_condattr_setclock(&attr, CLOCK_MONOTONIC) != 0)
        return -1;
    int rc = pthread_cond_init(&q->more, &attr);
    (void)pthread_condattr_destroy(&attr);
    return rc == 0 ? 0 : -1;
}

void bd_queue_end(struct bd_queue *queue)
{
    free(queue->items);
    (void)pthread_cond_destroy(&queue->more);
    (void)pthread_mutex_destroy(&queue->lock);
}

bool bd_queue_put_quietly(struct bd_queue *queue, void *item)
{
    (void)pthread_mutex_lock(&queue->lock);
    bool ok = queue->n < queue->cap;
    if (ok) {
        queue->items[(queue->head + queue->n) % queue->cap] = item;
        queue->n++;
    }
    (void)pthread_mutex_unlock(&queue->lock);
    return ok;
}

bool bd_queue_put(struct bd_queue *queue, void *item)
{
    bool ok = bd_queue_put_quietly(queue, item);
    if (ok) /* without the lock: the thread that wakes up would only wait for it */
        (void)pthread_cond_signal(&queue->more);
    return ok;
}

size_t bd_queue_take(struct bd_queue *queue, void **out, size_t max, struct timespec until)
{
    size_t got = 0;
    (void)pthread_mutex_lock(&queue->lock);
    while (queue->n == 0)
        if (pthread_cond_timedwait(&queue->more, &queue->lock, &until) != 0)
            break;
    while (got < max && queue->n > 0) {
        out[got++] = queue->items[queue->head];
        queue->head = (queue->head + 1) % queue->cap;
        queue->n--;
    }
    (void)pthread_mutex_unlock(&queue->lock);
    return got;
}
