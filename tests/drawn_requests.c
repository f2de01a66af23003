/* Drawn requests: a sound message of a user, a worker, the cloud or the store, however it is spelt,
 * gives the same state, record and answer as its plain form; an unsound one gets its status and
 * changes nothing.
 *
 *   drawn-requests FROM N: the seeds FROM to FROM + N - 1 */
#include "drawn_requests.h"
#include "numbers.h"
#include <stdio.h>
#include <stdlib.h>

#define FAILURES_PRINTED_MAX 20
#define TEXT_PRINTED_MAX 400

static int failures, checks, failed_seeds;
static uint64_t current_seed;

void drawn_check(bool is_ok, const char *what, const char *text)
{
    checks++;
    if (is_ok)
        return;
    if (failures++ < FAILURES_PRINTED_MAX)
        printf("FAIL seed %llu: %s: %.*s\n", (unsigned long long)current_seed, what,
               TEXT_PRINTED_MAX, text ? text : "");
}

const char *drawn_name(struct spelling *spelling)
{
    static const char *const names[] = {
        "ride-api",
        "img-50",
        "x",
        "größe",
        "日本語 ✓",
        "😀 a/b",
        "with \"quotes\" and \\",
        "tab\tand\nline",
        "a name of sixty-three bytes: the longest that fits into a label",
        "a name of sixty-four bytes or a little more, which no label can hold",
        "日本語の長い名前は六十四バイトを超えるかもしれませんが、それでも名前です"};
    return names[spelling_draw(spelling, sizeof names / sizeof *names)];
}

static void run_seed(uint64_t seed)
{
    int failures_before = failures;
    struct spelling spelling = spelling_from_seed(seed);
    current_seed = seed;
    drawn_submissions(&spelling);
    drawn_heartbeats(&spelling);
    drawn_cloud_answers(&spelling);
    drawn_store_answers(&spelling);
    failed_seeds += failures > failures_before;
}

int main(int argc, char **argv)
{
    if (argc != 3)
        return 2;
    uint64_t from = (uint64_t)parse_number(argv[1]);
    int count = parse_number(argv[2]);
    for (int i = 0; i < count; i++)
        run_seed(from + (uint64_t)i);
    printf("%d seeds, %d checks, %d failed in %d seeds\n", count, checks, failures, failed_seeds);
    return failures || checks == 0 ? 1 : 0;
}
