/* Fails each allocation of the JSON library in turn, and tests that no incomplete message results:
 * a transaction is built whole or not at all, and the controllers' allocator ends the process. */
#include "base/json_allocator.h"
#include "wire/wire_store.h"
#include <jansson.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define ALLOCATIONS_MAX 1000

static int allocations_left; /* before the one that fails; negative: none fails any more */
static int failures;

static void *allocate(size_t bytes)
{
    bool fails = allocations_left == 0;
    if (allocations_left >= 0)
        allocations_left--;
    return fails ? NULL : malloc(bytes);
}

static void check(const char *text, bool is_ok)
{
    failures += !is_ok;
    printf("%s %s\n", is_ok ? "ok  " : "FAIL", text);
}

/* A transaction with every kind of element. NULL: it could not be built. */
static char *build_txn(void)
{
    struct bd_txn txn;
    bool has_begun = bd_txn_begin(&txn);
    if (has_begun) {
        bd_txn_compare(&txn, "leader", 9);
        bd_txn_compare(&txn, "w", 10);
        bd_txn_put(&txn, "i/1", json_pack("{s:i,s:[i,i]}", "a", 1, "b", 2, 3), 0);
        bd_txn_put(&txn, "p/node-0", json_pack("{s:s}", "node", "node-0"), 7);
        bd_txn_delete(&txn, "i/0");
        return bd_txn_finish(&txn);
    }
    json_decref(txn.compares);
    json_decref(txn.ops);
    return NULL;
}

/* Guards against a transaction that is sent without one of its conditions or changes. */
static void check_transactions(void)
{
    allocations_left = -1;
    char *whole = build_txn();
    int incomplete = 0, built = 0, failed = 0;
    for (int i = 0; i < ALLOCATIONS_MAX && built == 0; i++) {
        allocations_left = i;
        char *text = build_txn();
        failed += text == NULL;
        incomplete += text && strcmp(text, whole) != 0;
        built += allocations_left >= 0;
        free(text);
    }
    free(whole);
    printf("     %d allocations failed one at a time: %d transactions not built, %d incomplete\n",
           failed + incomplete, failed, incomplete);
    check("no transaction is incomplete, whichever allocation fails", incomplete == 0);
    check("several allocations were failed, and the last transaction was built",
          failed > 10 && built == 1);
}

/* The child asks for more memory than there can be, as a message that does not fit would. */
static void run_out_of_memory(void)
{
    const struct rlimit no_core = {0, 0};
    (void)setrlimit(RLIMIT_CORE, &no_core);
    (void)close(STDERR_FILENO);
    bd_json_allocator_install();
    json_malloc_t allocate_for_json;
    json_free_t free_for_json;
    json_get_alloc_funcs(&allocate_for_json, &free_for_json);
    free_for_json(allocate_for_json(SIZE_MAX / 4));
}

/* Guards against records that lose a member or an element when memory runs out. */
static void check_allocator(void)
{
    int status = 0;
    (void)fflush(stdout);
    pid_t child = fork();
    if (child == 0) {
        run_out_of_memory();
        _exit(EXIT_SUCCESS);
    }
    bool has_ended = child > 0 && waitpid(child, &status, 0) == child;
    check("the process aborts when the JSON library runs out of memory",
          has_ended && WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT);
}

int main(void)
{
    json_set_alloc_funcs(allocate, free);
    check_transactions();
    check_allocator();
    return failures ? 1 : 0;
}
