#include "base/thread.h"
#include <limits.h>
#include <pthread.h>

int bd_thread_start(void *(*run)(void *), void *arg, size_t stack_bytes)
{
    pthread_attr_t attr;
    pthread_t thread;
    if (pthread_attr_init(&attr) != 0)
        return -1;
    size_t size = stack_bytes < (size_t)PTHREAD_STACK_MIN ? (size_t)PTHREAD_STACK_MIN : stack_bytes;
    int error = pthread_attr_setstacksize(&attr, size);
    if (error == 0)
        error = pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (error == 0)
        error = pthread_create(&thread, &attr, run, arg);
    (void)pthread_attr_destroy(&attr);
    return error == 0 ? 0 : -1;
}
