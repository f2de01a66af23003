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

/* The settings with one thing replaced must be refused, and the line must name file and field. */
static void bad_settings(const char *good, const char *from, const char *to, const char *field)
{
    char path[] = "/tmp/bd-inputs-XXXXXX", error[256] = "", what[128];
    struct bd_settings *settings = calloc(1, sizeof *settings);
    const char *at = strstr(good, from);
    int fd = mkstemp(path);
    if (!settings || !at || fd < 0)
        exit(2);
    (void)close(fd);
    size_t capacity = strlen(good) + strlen(to) + 1;
    char *bad = malloc(capacity);
    snprintf(bad, capacity, "%.*s%s%s", (int)(at - good), good, to, at + strlen(from));
    write_file(path, bad);
    int status = bd_settings_load(settings, path, error, sizeof error);
    snprintf(what, sizeof what, "settings: %s", field);
    inputs_check(
        status == -1 && strstr(error, path) && strstr(error, field) && !strchr(error, '\n'), what);
    (void)unlink(path);
    free(bad);
    free(settings);
}

/* With announced limits, wholly or in part: the smaller of the two count. */
static void next_limits(const char *good, const char *next, size_t value_bytes, size_t txn_ops,
                        double rate)
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
                     settings->kv_value_bytes_max == value_bytes &&
                     settings->kv_txn_ops_max == txn_ops && settings->kv_writes_per_s == rate,
                 *next ? next : "no limits to come");
    (void)unlink(path);
    free(text);
    free(settings);
}

/* The limits of the machine that the controller runs on. */
static void bad_machine_limits(const char *good)
{
    static const char *const limits[][2] = {{"\"cpu\": 0.16", "cpu"},
                                            {"\"ram_mb\": 72.0", "ram_mb"},
                                            {"\"max_sockets\": 1000", "max_sockets"}};
    static const char *const wrong[] = {"0", "-1", "null", "\"many\"", "[]", "0.0015"};
    for (size_t i = 0; i < sizeof limits / sizeof limits[0]; i++) {
        char bad[64];
        for (size_t k = 0; k < sizeof wrong / sizeof wrong[0]; k++) {
            snprintf(bad, sizeof bad, "\"%s\": %s", limits[i][1], wrong[k]);
            bad_settings(good, limits[i][0], bad, limits[i][1]);
        }
        bad_settings(good, limits[i][0], "\"other\": 1", limits[i][1]);
    }
}

/* The store's limits that are announced. */
static void announced_limits(const char *good)
{
    static const char *const txn_ops = "\"txn_ops\": 24";
    bad_settings(good, txn_ops, "\"txn_ops\": 24, \"next\": 7", "next");
    bad_settings(good, txn_ops, "\"txn_ops\": 24, \"next\": {\"txn_ops\": \"8\"}", "txn_ops");
    bad_settings(good, txn_ops, "\"txn_ops\": 24, \"next\": {\"value_kb\": -2}", "value_kb");
    bad_settings(good, txn_ops, "\"txn_ops\": 24, \"next\": {\"write_rps\": 0}", "write_rps");
    next_limits(good, "", 8192, 24, 100);
    next_limits(good, ", \"next\": null", 8192, 24, 100);
    next_limits(good, ", \"next\": {}", 8192, 24, 100);
    next_limits(good, ", \"next\": {\"value_kb\": 2.0, \"odd\": []}", 2048, 24, 100);
    next_limits(good, ", \"next\": {\"txn_ops\": 8, \"write_rps\": 70.5}", 8192, 8, 70.5);
    next_limits(good, ", \"next\": {\"value_kb\": 64, \"txn_ops\": 99}", 8192, 24, 100);
}

void inputs_settings(const char *directory)
{
    char error[256], path[512];
    struct bd_settings *settings = calloc(1, sizeof *settings);
    char *good = inputs_read_file(directory, "settings.json");
    snprintf(path, sizeof path, "%s/settings.json", directory);
    inputs_check(bd_settings_load(settings, path, error, sizeof error) == 0, "good settings");
    inputs_check(settings->npeers == 2 && settings->nteams == 2 && settings->nslos == 2 &&
                     settings->nzones == 2 && bd_to_secs(settings->worker_lease) == 10.0 &&
                     settings->kv_txn_ops_max == 24,
                 "good settings are read");
    bad_settings(good, "\"node_name\": \"node-0\"", "\"node_name\": 7", "node_name");
    bad_settings(good, "\"front\"", "\"fronts\"", "front");
    bad_settings(good, "\"lease_s\": 10.0", "\"lease_s\": \"long\"", "lease_s");
    bad_settings(good, "\"lease_s\": 10.0", "\"lease_s\": -1", "lease_s");
    bad_settings(good, "\"cancel_s\": 35.0", "\"cancel_s\": 10.5", "cancel_s");
    bad_settings(good, "\"txn_ops\": 24", "\"txn_ops\": 0", "txn_ops");
    bad_machine_limits(good);
    bad_settings(good, "\"ram_mb\": 72.0", "\"ram_mb\": 7", "ram_mb");
    bad_settings(good, "\"max_sockets\": 1000", "\"max_sockets\": 100", "max_sockets");
    announced_limits(good);
    bad_settings(good, "\"external\": {", "\"external\": [], \"x\": {", "external");
    bad_settings(good, "\"teams\": [", "\"teams\": 3, \"x\": [", "teams");
    char many[4096] = "\"objectives\": [";
    for (int i = 0; i <= BD_SLOS_MAX; i++) /* one more than the settings can have */
        strcat(many, "{\"kind\": \"wait\"}, ");
    bad_settings(good, "\"objectives\": [", many, "objectives");
    bad_settings(good, "{", "[", "line");
    inputs_check(bd_settings_load(settings, "/nonexistent", error, sizeof error) == -1, "no file");
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

void inputs_operator_files(void)
{
    char error[256];
    struct bd_settings *settings = calloc(1, sizeof *settings);
    inputs_check(read_operators("(brambledoor (spare-share 0.2) (idle-boots 2))", error,
                                sizeof error, settings) == 0 &&
                     settings->headroom_share == 0.2 && settings->idle_boot_times == 2,
                 "operators' file");
    inputs_check(read_operators("(leader-ttl-s 4)", error, sizeof error, settings) == 0 &&
                     bd_to_secs(settings->leader_ttl) == 4.0,
                 "operators' file without the outer list");
    inputs_check(read_operators("(spare-share much)", error, sizeof error, settings) == -1 &&
                     strstr(error, "spare-share"),
                 "operators: not a number");
    inputs_check(read_operators("(no-such 1)", error, sizeof error, settings) == -1 &&
                     strstr(error, "no-such"),
                 "operators: unknown field");
    inputs_check(read_operators("(spare-share 0.2", error, sizeof error, settings) == -1,
                 "operators: cut off");
    inputs_check(read_operators("spare-share 0.2", error, sizeof error, settings) == -1,
                 "operators: no list");
    free(settings);
}
