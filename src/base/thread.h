/* Threads, which live as long as the process: they are never joined or cancelled. */
#ifndef BD_THREAD_H
#define BD_THREAD_H
#include <stddef.h>

/* Starts a detached thread that runs `run(arg)`, with a stack of `stack` bytes or the system's
 * minimum, if that is more. `arg` must outlive the thread. 0, or -1: no thread could be had. */
int bd_thread_start(void *(*run)(void *), void *arg, size_t stack);
#endif
