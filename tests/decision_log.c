/* Tests the decision log. Entries that differ only in the task share a line; lines beyond the rate
 * limit are counted and not written; nothing is written if the log level is above info. Also tests
 * the line about heartbeats that an unknown controller forwards. Standard
 * error is read back through a pipe. */
#include "model/decision_log.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "model/effect.h"
#include "test_settings.h"
#include "wire/wire_workers.h"
#include "workers/workers.h"
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static int failed;

static void check(const char *what, bool is_ok)
{
    printf("%s: %s\n", is_ok ? "ok  " : "FAIL", what);
    failed += !is_ok;
}

/* The text that was written since the last call. */
static const char *read_new_text(int fd)
{
    static char text[1 << 20];
    size_t len = 0;
    ssize_t count;
    while (len < sizeof text - 1 && (count = read(fd, text + len, sizeof text - 1 - len)) > 0)
        len += (size_t)count;
    text[len] = '\0';
    return text;
}

static int count_occurrences(const char *text, const char *word)
{
    int count = 0;
    for (const char *at = strstr(text, word); at; at = strstr(at + 1, word))
        count++;
    return count;
}

static void check_task_ranges(struct bd_core *core, const struct bd_job *job,
                              const struct bd_machine *machine, int fd)
{
    static const uint32_t tasks[] = {0, 1, 2, 5, 7, 8};
    for (size_t i = 0; i < sizeof tasks / sizeof *tasks; i++)
        bd_decision_log_task(core, "launch_sent", job, tasks[i], 77, machine, "via=direct");
    check("a line is held back for more tasks of the same event", *read_new_text(fd) == '\0');
    bd_decision_log_task(core, "launch_sent", job, 9, 78, machine, "via=direct");
    check("an entry of another attempt ends the line",
          strstr(read_new_text(fd),
                 "event=launch_sent job=job-1 attempt=77 task=0-2,5,7-8 machine=vm-1 "
                 "via=direct incarnation=3 heartbeat=9 token_seen=41 term=44\n") != NULL);
    (void)bd_effects_take(core);
    check("pending lines are written before the effects are taken",
          strstr(read_new_text(fd), "attempt=78 task=9 ") != NULL);
    for (uint32_t i = 0; i < 400; i += 2)
        bd_decision_log_task(core, "launch_sent", job, i, 79, machine, "");
    bd_decision_log_flush(core);
    const char *text = read_new_text(fd);
    check("a long list of tasks is split over lines, with its first and last tasks",
          strstr(text, "task=0,2,4,") != NULL && strstr(text, ",398 machine") != NULL &&
              count_occurrences(text, "event=launch_sent") > 1);
}

static void check_rate_limit(struct bd_core *core, struct timespec now, int fd)
{
    bd_core_set_clock(core, bd_time_add(now, bd_secs(100)), 1100);
    for (int i = 0; i < 5000; i++)
        bd_decision_log_note(core, "lease_renewed", "n=%d", i);
    check("a burst writes exactly as many lines as its limit",
          count_occurrences(read_new_text(fd), "event=lease_renewed") == 400);
    bd_core_set_clock(core, bd_time_add(now, bd_secs(100.5)), 1100.5);
    bd_decision_log_note(core, "lease_renewed", "n=early");
    check("half a second after the burst, a line is still suppressed", *read_new_text(fd) == '\0');
    bd_decision_log_term(core, "term_acquired", "term=7");
    check("changes of the term are exempt from the limit",
          strstr(read_new_text(fd), "event=term_acquired term=7\n") != NULL);
    bd_core_set_clock(core, bd_time_add(now, bd_secs(101.1)), 1101.1);
    bd_decision_log_note(core, "lease_renewed", "n=last");
    check("the number of suppressed lines is written",
          strstr(read_new_text(fd), "event=suppressed lines=4601\n") != NULL);
}

/* Guards against heartbeats that are dropped without a trace. */
static void check_unknown_forwarder(struct bd_core *core, struct timespec now, int fd)
{
    const struct bd_heartbeat heartbeat = {.machine = "vm-1"};
    for (int i = 0; i < 5; i++)
        bd_worker_heartbeat_forwarded(core, "node-9", 1, &heartbeat, "{}", 2);
    check("heartbeats that an unknown controller forwards are logged once, with its name",
          strstr(read_new_text(fd), "dropped 1 heartbeats that were forwarded by node-9") != NULL);
    bd_core_set_clock(core, bd_time_add(now, bd_secs(10.5)), 1010.5);
    bd_worker_heartbeat_forwarded(core, "node-9", 1, &heartbeat, "{}", 2);
    const char *text = read_new_text(fd);
    check("later ones are logged after a while, with their number",
          strstr(text, "dropped 5 heartbeats") != NULL && count_occurrences(text, "dropped") == 1);
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
    check_unknown_forwarder(core, now, fds[0]);
    bd_core_set_clock(core, now, 1000);
    check_task_ranges(core, &job, &machine, fds[0]);
    check_rate_limit(core, now, fds[0]);
    log.level = BD_LOG_ERROR;
    bd_decision_log_task(core, "launch_sent", &job, 0, 1, &machine, "");
    bd_decision_log_note(core, "term_acquired", "term=1");
    bd_decision_log_flush(core);
    check("nothing is written if the level is above info", *read_new_text(fds[0]) == '\0');
    bd_core_free(core);
    return failed ? 1 : 0;
}
