/* A bounded queue of pointers between threads; every wait has a deadline. */
#ifndef BD_QUEUE_H
#define BD_QUEUE_H
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

struct bd_queue {
    pthread_mutex_t lock;
    pthread_cond_t more;
    void **items;
    size_t cap, head, n;
};

int bd_queue_init(struct bd_queue *queue, size_t cap);
void bd_queue_end(struct bd_queue *queue);
/* false: full, the caller keeps the item */
bool bd_queue_put(struct bd_queue *queue, void *item);
/* the same, but wakes nobody: it is taken with the next item, or at the end of the wait under way
 */
bool bd_queue_put_quietly(struct bd_queue *queue, void *item);
/* takes up to max items, waiting until the instant for the first one */
size_t bd_queue_take(struct bd_queue *queue, void **out, size_t max, struct timespec until);
#endif
