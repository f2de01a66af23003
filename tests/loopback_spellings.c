/* Loopback test of drawn spellings: sound submissions however they are spelt, and broken ones. */
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include "spelling.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 36
#define DONE_S 30.0

/* How the drawn requests were answered. */
struct outcome {
    int accepted, repeated, refused;
};

/* Submits a job in two spellings at two nodes, and a broken form of it. */
static void submit_drawn(struct loopback *test, uint64_t seed, struct outcome *outcome)
{
    char id[32], broken[64];
    struct spelling spelling = spelling_from_seed(seed);
    snprintf(id, sizeof id, "job-7%05llu", (unsigned long long)seed);
    json_t *submission = json_loads(nodes_submission(id, "sweep", 1), 0, NULL);
    char *first = spelling_write(&spelling, submission);
    char *second = spelling_write(&spelling, submission);
    int node = (int)(seed % NODES);
    outcome->accepted += nodes_request(test, node, "POST", "/submissions", first, NULL, 0) == 201;
    outcome->repeated +=
        nodes_request(test, (node + 1) % NODES, "POST", "/submissions", second, NULL, 0) == 200;
    snprintf(broken, sizeof broken, "{\"id\":\"%s1\",\"chores\":1.5}", id);
    outcome->refused +=
        nodes_request(test, node, "POST", "/submissions", broken, NULL, 0) == 400 &&
        nodes_request(test, node, "POST", "/submissions", strchr(first, '{') + 1, NULL, 0) == 400;
    json_decref(submission);
    free(first);
    free(second);
}

static int count_done(struct loopback *test)
{
    int done = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        char path[64];
        snprintf(path, sizeof path, "/submissions/job-7%05llu", (unsigned long long)seed);
        done += nodes_wait_for(test, path, "\"mood\":\"done\"", DONE_S) != 0;
    }
    return done;
}

/* Guards against a sound submission that is refused, or becomes a second job, for its spelling. */
void test_spellings(struct loopback *test)
{
    struct outcome outcome = {0};
    nodes_check(test, nodes_wait_for_all(test, "/up", "up", 30), "all nodes are up");
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
        submit_drawn(test, seed, &outcome);
    printf("     of %d: %d accepted, %d known when repeated, %d broken forms refused\n", SEEDS,
           outcome.accepted, outcome.repeated, outcome.refused);
    nodes_check(test, outcome.accepted == SEEDS, "each sound submission is accepted");
    nodes_check(test, outcome.repeated == SEEDS, "repeated in another spelling, it is known");
    nodes_check(test, outcome.refused == SEEDS, "broken forms get 400");
    nodes_check(test, count_done(test) == SEEDS, "all of them are done");
    nodes_check(test, fake_task_starts(test->cluster) == SEEDS, "each ran once");
}
