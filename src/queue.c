#include "brambledoor/queue.h"
#include <stdlib.h>
#include <string.h>

int bd_queue_init(struct bd_queue *q, size_t cap)
{
    pthread_condattr_t attr;
    memset(q, 0, sizeof *q);
    q->cap = cap;
    q->ring = calloc(cap, sizeof *q->ring);
    if (!q->ring || pthread_mutex_init(&q->lock, NULL) != 0 || pthread_condattr_init(&attr) != 0)
        return -1;
    if (pthread_condattr_setclock(&attr, CLOCK_MONOTONIC) != 0)
        return -1;
    int rc = pthread_cond_init(&q->more, &attr);
    (void)pthread_condattr_destroy(&attr);
    return rc == 0 ? 0 : -1;
}

void bd_queue_end(struct bd_queue *q)
{
    free(q->ring);
    (void)pthread_cond_destroy(&q->more);
    (void)pthread_mutex_destroy(&q->lock);
}

bool bd_queue_put_quietly(struct bd_queue *q, void *item)
{
    (void)pthread_mutex_lock(&q->lock);
    bool ok = q->n < q->cap;
    if (ok) {
        q->ring[(q->head + q->n) % q->cap] = item;
        q->n++;
    }
    (void)pthread_mutex_unlock(&q->lock);
    return ok;
}

bool bd_queue_put(struct bd_queue *q, void *item)
{
    bool ok = bd_queue_put_quietly(q, item);
    if (ok) /* without the lock: the thread that wakes up would only wait for it */
        (void)pthread_cond_signal(&q->more);
    return ok;
}

size_t bd_queue_take(struct bd_queue *q, void **out, size_t max, struct timespec until)
{
    size_t got = 0;
    (void)pthread_mutex_lock(&q->lock);
    while (q->n == 0)
        if (pthread_cond_timedwait(&q->more, &q->lock, &until) != 0)
            break;
    while (got < max && q->n > 0) {
        out[got++] = q->ring[q->head];
        q->head = (q->head + 1) % q->cap;
        q->n--;
    }
    (void)pthread_mutex_unlock(&q->lock);
    return got;
}
