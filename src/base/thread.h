/* Threads that live as long as the process and are never joined or cancelled. */
#ifndef BD_THREAD_H
#define BD_THREAD_H
#include <stddef.h>

/* Starts a detached thread that runs `run(arg)`. Its stack has `stack_bytes` bytes, at least the
 * system's minimum. `arg` must outlive the thread. Returns 0, or -1 if the thread cannot be
 * created.
 */
int bd_thread_start(void *(*run)(void *), void *arg, size_t stack_bytes);
#endif
