/* The loopback tests by subject; loopback.c selects which of them run. Each expects running
 * controllers and reports with nodes_check. */
#ifndef LOOPBACK_TESTS_H
#define LOOPBACK_TESTS_H
#include "loopback_nodes.h"

/* loopback_requests.c, in this order */
void test_normal_operation(struct loopback *test);
void test_bad_requests(struct loopback *test);
void test_killed_nodes(struct loopback *test);
void test_store_outage(struct loopback *test);
void test_dependencies(struct loopback *test);
/* is_announced: the settings already contain the lower limits as the next ones. */
void test_lower_limits(struct loopback *test, size_t value_bytes, size_t txn_ops,
                       bool is_announced);

void test_partition(struct loopback *test);       /* loopback_partition.c */
void test_rolling_upgrade(struct loopback *test); /* loopback_upgrade.c */
void test_faults(struct loopback *test);          /* loopback_faults.c */
void test_overload(struct loopback *test);        /* loopback_overload.c */
void test_spellings(struct loopback *test);       /* loopback_spellings.c */
/* loopback_slow_clients.c */
void test_slow_clients(struct loopback *test);
/* Writes the node's operators' file with short deadlines, which the node then starts with. */
void slow_clients_write_operators_file(struct loopback *test, int node);
/* loopback_memory.c */
void test_memory(struct loopback *test);
void test_memory_after_backlog(struct loopback *test);

/* Writes two files to the directory: the store records of the program under test and its frames to
 * a peer. Returns an exit status. */
int capture_production(struct loopback *test, const char *directory);
#endif
