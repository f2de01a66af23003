/* The decision log: tasks that share all else share a line, lines beyond the rate are counted, and
 * nothing is written below the level. Standard error is read back through a pipe. */
#include "model/decision_log.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "model/effect.h"
#include "test_settings.h"
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static int failed;

static void check(const char *what, bool good)
{
    printf("%s: %s\n", good ? "ok  " : "FAIL", what);
    failed += !good;
}

/* What has been written since the last call. */
static const char *written(int fd)
{
    static char text[1 << 20];
    size_t len = 0;
    ssize_t n;
    while (len < sizeof text - 1 && (n = read(fd, text + len, sizeof text - 1 - len)) > 0)
        len += (size_t)n;
    text[len] = '\0';
    return text;
}

static int lines_with(const char *text, const char *word)
{
    int n = 0;
    for (const char *at = strstr(text, word); at; at = strstr(at + 1, word))
        n++;
    return n;
}

static void ranges(struct bd_core *core, const struct bd_job *job, const struct bd_machine *machine,
                   int fd)
{
    static const uint32_t tasks[] = {0, 1, 2, 5, 7, 8};
    for (size_t i = 0; i < sizeof tasks / sizeof *tasks; i++)
        bd_decision_log_task(core, "launch_sent", job, tasks[i], 77, machine, "via=direct");
    check("a line waits for more tasks", *written(fd) == '\0');
    bd_decision_log_task(core, "launch_sent", job, 9, 78, machine, "via=direct");
    check("another attempt begins a line",
          strstr(written(fd),
                 "event=launch_sent job=job-1 attempt=77 task=0-2,5,7-8 machine=vm-1 "
                 "via=direct incarnation=3 heartbeat=9 token_seen=41 term=44\n") != NULL);
    (void)bd_effects_take(core);
    check("what allowed an effect is written before it is taken",
          strstr(written(fd), "attempt=78 task=9 ") != NULL);
    for (uint32_t i = 0; i < 400; i += 2)
        bd_decision_log_task(core, "launch_sent", job, i, 79, machine, "");
    bd_decision_log_flush(core);
    const char *text = written(fd);
    check("no task is left out of a long list", strstr(text, "task=0,2,4,") != NULL &&
                                                    strstr(text, ",398 machine") != NULL &&
                                                    lines_with(text, "event=launch_sent") > 1);
}

static void rate(struct bd_core *core, struct timespec now, int fd)
{
    bd_core_set_clock(core, bd_time_add(now, bd_secs(100)), 1100);
    for (int i = 0; i < 5000; i++)
        bd_decision_log_note(core, "lease_renewed", "n=%d", i);
    check("no more lines at once than the bound",
          lines_with(written(fd), "event=lease_renewed") == 400);
    bd_core_set_clock(core, bd_time_add(now, bd_secs(100.5)), 1100.5);
    bd_decision_log_note(core, "lease_renewed", "n=early");
    check("after that, no line before a second's are free", *written(fd) == '\0');
    bd_decision_log_term(core, "term_acquired", "term=7");
    check("who leads is always written",
          strstr(written(fd), "event=term_acquired term=7\n") != NULL);
    bd_core_set_clock(core, bd_time_add(now, bd_secs(101.1)), 1101.1);
    bd_decision_log_note(core, "lease_renewed", "n=last");
    check("how many were left out is said",
          strstr(written(fd), "event=suppressed lines=4601\n") != NULL);
}

int main(void)
{
    static struct bd_settings settings;
    struct bd_log log = {BD_LOG_INFO, "node-0"};
    int fds[2];
    if (pipe2(fds, O_NONBLOCK) != 0 || fcntl(fds[1], F_SETPIPE_SZ, 1 << 20) < 0 ||
        dup2(fds[1], STDERR_FILENO) < 0)
        return 2;
    test_settings_init(&settings);
    struct bd_core *core = bd_core_new(&settings, &log);
    if (!core)
        return 2;
    struct timespec now = bd_secs(1000);
    bd_core_set_clock(core, now, 1000);
    core->lead.term = 44;
    struct bd_job job = {.id = "job-1"};
    struct bd_machine machine = {
        .id = "vm-1", .incarnation = 3, .heartbeat_seq = 9, .fencing_token = 41};
    ranges(core, &job, &machine, fds[0]);
    rate(core, now, fds[0]);
    log.level = BD_LOG_ERROR;
    bd_decision_log_task(core, "launch_sent", &job, 0, 1, &machine, "");
    bd_decision_log_note(core, "term_acquired", "term=1");
    bd_decision_log_flush(core);
    check("nothing is written below info", *written(fds[0]) == '\0');
    bd_core_free(core);
    return failed ? 1 : 0;
}
