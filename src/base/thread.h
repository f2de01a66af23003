/* Threads, which live as long as the process. */
#ifndef BD_THREAD_H
#define BD_THREAD_H
#include <stddef.h>

/* Starts a detached thread with a stack of so many bytes, at least the system's minimum. 0, or -1:
 * no thread could be had. */
int bd_thread_start(void *(*run)(void *), void *arg, size_t stack);
#endif
