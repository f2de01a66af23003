/* Malformed settings and operators' files. */
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "inputs.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static void write_file(const char *path, const char *text)
{
    FILE *file = fopen(path, "wb");
    if (!file || fwrite(text, 1, strlen(text), file) != strlen(text) || fclose(file) != 0)
        exit(2);
}

/* Replaces `from` by `to` in the valid settings. The result must be refused, with one line of error
 * that names the file and the field. */
static void check_refused(const char *good, const char *from, const char *to, const char *field)
{
    char path[] = "/tmp/bd-inputs-XXXXXX", error[256] = "", what[128];
    struct bd_settings *settings = calloc(1, sizeof *settings);
    const char *at = strstr(good, from);
    int fd = mkstemp(path);
    if (!settings || !at || fd < 0)
        exit(2);
    (void)close(fd);
    size_t capacity = strlen(good) + strlen(to) + 1;
    char *changed = malloc(capacity);
    snprintf(changed, capacity, "%.*s%s%s", (int)(at - good), good, to, at + strlen(from));
    write_file(path, changed);
    int status = bd_settings_load(settings, path, error, sizeof error);
    snprintf(what, sizeof what, "settings: %s", field);
    inputs_check(
        status == -1 && strstr(error, path) && strstr(error, field) && !strchr(error, '\n'), what);
    (void)unlink(path);
    free(changed);
    free(settings);
}

/* Adds announced limits, of which any may be absent. Of the current and the announced value of each
 * limit, the smaller one applies. */
static void check_announced_limits(const char *good, const char *next, size_t value_bytes_max,
                                   size_t txn_ops_max, double writes_per_s)
{
    char path[] = "/tmp/bd-inputs-XXXXXX", error[256] = "";
    const char *at = strstr(good, "\"txn_ops\": 24");
    struct bd_settings *settings = calloc(1, sizeof *settings);
    int fd = mkstemp(path);
    if (!settings || !at || fd < 0)
        exit(2);
    (void)close(fd);
    size_t head = (size_t)(at - good) + strlen("\"txn_ops\": 24"), capacity = strlen(good) + 256;
    char *text = malloc(capacity);
    snprintf(text, capacity, "%.*s%s%s", (int)head, good, next, good + head);
    write_file(path, text);
    inputs_check(bd_settings_load(settings, path, error, sizeof error) == 0 &&
                     settings->kv_value_bytes_max == value_bytes_max &&
                     settings->kv_txn_ops_max == txn_ops_max &&
                     settings->kv_writes_per_s == writes_per_s,
                 *next ? next : "no announced limits");
    (void)unlink(path);
    free(text);
    free(settings);
}

/* Invalid limits of the machine that the controller runs on. */
static void check_machine_limits(const char *good)
{
    static const char *const limits[][2] = {{"\"cpu\": 0.16", "cpu"},
                                            {"\"ram_mb\": 72.0", "ram_mb"},
                                            {"\"max_sockets\": 1000", "max_sockets"}};
    static const char *const wrong[] = {"0", "-1", "null", "\"many\"", "[]", "0.0015"};
    for (size_t i = 0; i < sizeof limits / sizeof limits[0]; i++) {
        char bad[64];
        for (size_t k = 0; k < sizeof wrong / sizeof wrong[0]; k++) {
            snprintf(bad, sizeof bad, "\"%s\": %s", limits[i][1], wrong[k]);
            check_refused(good, limits[i][0], bad, limits[i][1]);
        }
        check_refused(good, limits[i][0], "\"other\": 1", limits[i][1]);
    }
}

/* Invalid and valid announced limits of the store. */
static void check_all_announced_limits(const char *good)
{
    static const char *const txn_ops = "\"txn_ops\": 24";
    check_refused(good, txn_ops, "\"txn_ops\": 24, \"next\": 7", "next");
    check_refused(good, txn_ops, "\"txn_ops\": 24, \"next\": {\"txn_ops\": \"8\"}", "txn_ops");
    check_refused(good, txn_ops, "\"txn_ops\": 24, \"next\": {\"value_kb\": -2}", "value_kb");
    check_refused(good, txn_ops, "\"txn_ops\": 24, \"next\": {\"write_rps\": 0}", "write_rps");
    check_announced_limits(good, "", 8192, 24, 100);
    check_announced_limits(good, ", \"next\": null", 8192, 24, 100);
    check_announced_limits(good, ", \"next\": {}", 8192, 24, 100);
    check_announced_limits(good, ", \"next\": {\"value_kb\": 2.0, \"odd\": []}", 2048, 24, 100);
    check_announced_limits(good, ", \"next\": {\"txn_ops\": 8, \"write_rps\": 70.5}", 8192, 8,
                           70.5);
    check_announced_limits(good, ", \"next\": {\"value_kb\": 64, \"txn_ops\": 99}", 8192, 24, 100);
}

void inputs_settings(const char *directory)
{
    char error[256], path[512];
    struct bd_settings *settings = calloc(1, sizeof *settings);
    char *good = inputs_read_file(directory, "settings.json");
    snprintf(path, sizeof path, "%s/settings.json", directory);
    inputs_check(bd_settings_load(settings, path, error, sizeof error) == 0,
                 "valid settings are accepted");
    inputs_check(settings->npeers == 2 && settings->nteams == 2 && settings->nslos == 2 &&
                     settings->nzones == 2 && bd_to_secs(settings->worker_lease) == 10.0 &&
                     settings->kv_txn_ops_max == 24,
                 "valid settings are read");
    check_refused(good, "\"node_name\": \"node-0\"", "\"node_name\": 7", "node_name");
    check_refused(good, "\"front\"", "\"fronts\"", "front");
    check_refused(good, "\"lease_s\": 10.0", "\"lease_s\": \"long\"", "lease_s");
    check_refused(good, "\"lease_s\": 10.0", "\"lease_s\": -1", "lease_s");
    check_refused(good, "\"cancel_s\": 35.0", "\"cancel_s\": 10.5", "cancel_s");
    check_refused(good, "\"txn_ops\": 24", "\"txn_ops\": 0", "txn_ops");
    check_machine_limits(good);
    check_refused(good, "\"ram_mb\": 72.0", "\"ram_mb\": 7", "ram_mb");
    check_refused(good, "\"max_sockets\": 1000", "\"max_sockets\": 100", "max_sockets");
    check_all_announced_limits(good);
    check_refused(good, "\"external\": {", "\"external\": [], \"x\": {", "external");
    check_refused(good, "\"teams\": [", "\"teams\": 3, \"x\": [", "teams");
    char many[4096] = "\"objectives\": [";
    for (int i = 0; i <= BD_SLOS_MAX; i++) /* one more than the maximum */
        strcat(many, "{\"kind\": \"wait\"}, ");
    check_refused(good, "\"objectives\": [", many, "objectives");
    check_refused(good, "{", "[", "line");
    inputs_check(bd_settings_load(settings, "/nonexistent", error, sizeof error) == -1,
                 "a missing settings file is refused");
    free(good);
    free(settings);
}

static int read_operators(const char *text, char *error, size_t capacity,
                          struct bd_settings *settings)
{
    char path[] = "/tmp/bd-inputs-XXXXXX";
    int fd = mkstemp(path);
    if (fd < 0)
        exit(2);
    (void)close(fd);
    write_file(path, text);
    int status = bd_settings_load_operators_file(settings, path, error, capacity);
    (void)unlink(path);
    return status;
}

/* Reads a file of `size` bytes that ends with an unknown field. */
static bool is_long_file_refused(size_t size, const char *named, struct bd_settings *settings)
{
    char error[256];
    const char *end = "\n(no-such 1)";
    char *text = malloc(size + 1);
    if (!text)
        exit(2);
    memset(text, ' ', size);
    memcpy(text + size - strlen(end), end, strlen(end) + 1);
    int status = read_operators(text, error, sizeof error, settings);
    free(text);
    return status == -1 && strstr(error, named);
}

void inputs_operator_files(void)
{
    char error[256];
    struct bd_settings *settings = calloc(1, sizeof *settings);
    inputs_check(read_operators("(brambledoor (spare-share 0.2) (idle-boots 2))", error,
                                sizeof error, settings) == 0 &&
                     settings->headroom_share == 0.2 && settings->idle_boot_times == 2,
                 "operators: valid file");
    inputs_check(read_operators("(leader-ttl-s 4)", error, sizeof error, settings) == 0 &&
                     bd_to_secs(settings->leader_ttl) == 4.0,
                 "operators: valid file without the outer list");
    inputs_check(read_operators("(spare-share much)", error, sizeof error, settings) == -1 &&
                     strstr(error, "spare-share"),
                 "operators: not a number");
    inputs_check(read_operators("(request-s 3) (answer-s 4)", error, sizeof error, settings) == 0 &&
                     bd_to_secs(settings->request_deadline) == 3.0 &&
                     bd_to_secs(settings->answer_deadline) == 4.0,
                 "operators: deadlines of requests and answers");
    inputs_check(read_operators("(request-s 0)", error, sizeof error, settings) == -1 &&
                     strstr(error, "request-s"),
                 "operators: no time for a request");
    inputs_check(read_operators("(no-such 1)", error, sizeof error, settings) == -1 &&
                     strstr(error, "no-such"),
                 "operators: unknown field");
    inputs_check(read_operators("(spare-share 0.2", error, sizeof error, settings) == -1,
                 "operators: truncated");
    inputs_check(read_operators("spare-share 0.2", error, sizeof error, settings) == -1,
                 "operators: not a list");
    /* guards against an operators' file that is cut without an error */
    inputs_check(is_long_file_refused(65536, "no-such", settings),
                 "operators: a file of 64 KiB is read to its end");
    inputs_check(is_long_file_refused(65537, "longer than 65536 bytes", settings),
                 "operators: a longer file is refused, and the limit is named");
    free(settings);
}
