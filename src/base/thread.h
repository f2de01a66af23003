/* Threads that live as long as the process and are never joined or cancelled. */
#ifndef BD_THREAD_H
#define BD_THREAD_H
#include <stddef.h>

/* Stack of a thread that calls the HTTP client or a library of similar needs. */
#define BD_THREAD_STACK_BYTES 131072u

/* Starts a detached thread that runs `run(arg)`. Its stack has `stack_bytes` bytes, at least the
 * system's minimum. `arg` must outlive the thread. Returns 0, or -1 if the thread cannot be
 * created.
 */
int bd_thread_start(void *(*run)(void *), void *arg, size_t stack_bytes);
#endif
