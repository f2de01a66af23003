/* Malformed submissions, heartbeats, records and responses of the cloud. */
#include "inputs.h"
#include "wire/heartbeat_cache.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns the name of the refused field, "body" if the text is not JSON, or NULL if it is accepted.
 */
static const char *read_submission(const char *text)
{
    char id[BD_JOB_ID_BYTES];
    struct bd_job_spec_text spec;
    json_t *json = bd_wire_parse_submission(text, strlen(text), NULL);
    const char *refused_field = json ? bd_wire_read_submission(json, id, &spec) : "body";
    json_decref(json);
    return refused_field;
}

/* A valid submission, with each field in turn removed, and replaced by a value of a wrong type. */
void inputs_submissions(const char *directory)
{
    char *good = inputs_read_file(directory, "submission.json");
    json_t *submission = json_loads(good, 0, NULL), *value;
    const char *key;
    void *next;
    inputs_check(read_submission(good) == NULL, "a valid submission is accepted");
    json_t *copy = json_deep_copy(submission);
    json_object_foreach_safe(copy, next, key, value)
    {
        bool is_optional =
            strcmp(key, "breeds") == 0 || strcmp(key, "glade") == 0 || strcmp(key, "dueS") == 0;
        json_t *changed = json_deep_copy(submission);
        json_object_del(changed, key);
        char *text = json_dumps(changed, 0);
        inputs_check((read_submission(text) == NULL) == is_optional, key);
        free(text);
        json_object_set_new(changed, key, json_pack("{s:i}", "x", 1));
        text = json_dumps(changed, 0);
        inputs_check(read_submission(text) != NULL, key);
        free(text);
        json_decref(changed);
    }
    json_decref(copy);
    static const char *const wrong[][2] = {
        {"chores", "0"},      {"chores", "100001"},  {"chores", "1.5"},       {"vcpus", "-1"},
        {"vcpus", "1e300"},   {"shape", "\"ring\""}, {"rank", "\"highest\""}, {"id", "\"job-\""},
        {"id", "\"job-1x\""}, {"breeds", "[1]"},     {"seed", "\"\""},        {"dueS", "\"soon\""}};
    for (size_t i = 0; i < sizeof wrong / sizeof *wrong; i++) {
        json_t *changed = json_deep_copy(submission);
        json_object_set_new(changed, wrong[i][0], json_loads(wrong[i][1], JSON_DECODE_ANY, NULL));
        char *text = json_dumps(changed, 0);
        inputs_check(read_submission(text) != NULL, wrong[i][1]);
        free(text);
        json_decref(changed);
    }
    json_decref(submission);
    free(good);
}

/* The parents that a submission names. `names` is the expected number of distinct names; -1: the
 * submission is refused. */
void inputs_parents(void)
{
    static const struct {
        const char *text;
        int names;
    } cases[] = {{"{}", 0},
                 {"{\"awaits\":null}", 0},
                 {"{\"awaits\":[]}", 0},
                 {"{\"awaits\":[\"job-1\"]}", 1},
                 {"{\"awaits\":[\"job-1\",\"job-01\",\"job-1\"]}", 2},
                 {"{\"awaits\":\"job-1\"}", -1},
                 {"{\"awaits\":{\"job-1\":1}}", -1},
                 {"{\"awaits\":[7]}", -1},
                 {"{\"awaits\":[null]}", -1},
                 {"{\"awaits\":[\"job-1\",\"\"]}", -1},
                 {"{\"awaits\":[\"job-1\",\"job-1/0\"]}", -1},
                 {"{\"awaits\":[\"job-1234567890123456789\"]}", -1}};
    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
        json_t *submission = json_loads(cases[i].text, 0, NULL), *names = NULL;
        bool ok = bd_wire_read_parents(submission, &names);
        inputs_check(ok == (cases[i].names >= 0) &&
                         json_array_size(names) ==
                             (size_t)(cases[i].names > 0 ? cases[i].names : 0) &&
                         (names != NULL) == (cases[i].names > 0),
                     cases[i].text);
        json_decref(names);
        json_decref(submission);
    }
}

static bool is_heartbeat(const char *text, size_t length)
{
    struct bd_heartbeat heartbeat;
    json_t *json = bd_wire_parse_heartbeat(text, length, NULL);
    bool ok = json && bd_wire_read_heartbeat(json, &heartbeat);
    if (ok)
        bd_wire_release_heartbeat(&heartbeat);
    json_decref(json);
    return ok;
}

void inputs_heartbeats(const char *directory)
{
    char *good = inputs_read_file(directory, "report.json");
    size_t length = strlen(good);
    inputs_check(is_heartbeat(good, length), "a valid heartbeat is accepted");
    for (size_t cut = 0; cut + 2 < length; cut++)
        inputs_check(!is_heartbeat(good, cut), "a truncated heartbeat is refused");
    static const char *const swaps[][2] = {
        {"\"tenancy\":1", "\"tenancy\":-1"},     {"\"tally\":88", "\"tally\":\"88\""},
        {"job-000412/3", "job-000412"},          {"job-000412/3", "job-000412/100000"},
        {"job-000412/3", "job-000412/-3"},       {"\"running\"", "\"walking\""},
        {"\"chores\":[", "\"chores\":7,\"x\":["}};
    for (size_t i = 0; i < sizeof swaps / sizeof *swaps; i++) {
        const char *at = strstr(good, swaps[i][0]);
        char bad[4096];
        if (!at)
            exit(2);
        snprintf(bad, sizeof bad, "%.*s%s%s", (int)(at - good), good, swaps[i][1],
                 at + strlen(swaps[i][0]));
        inputs_check(!is_heartbeat(bad, strlen(bad)), swaps[i][1]);
    }
    free(good);
}

/* Reads a heartbeat through the cache. `seq` is the text of its sequence number. */
static const struct bd_heartbeat *read_cached(struct bd_heartbeat_cache *cache, const char *machine,
                                              const char *seq, const char *state)
{
    char text[512];
    snprintf(text, sizeof text,
             "{\"hearth\":\"%s\",\"endpoint\":\"10.1.0.2:9000\",\"breed\":\"a\",\"glade\":\"b\","
             "\"windfall\":false,\"tenancy\":1,\"tally\":%s,\"seal\":4,\"warningS\":null,"
             "\"chores\":[{\"chore\":\"job-1/3\",\"try\":2,\"mood\":\"%s\"}]}",
             machine, seq, state);
    return bd_heartbeat_cache_read(cache, text, strlen(text));
}

static void check_malformed_sequence_numbers(struct bd_heartbeat_cache *cache)
{
    uint32_t total, hits;
    static const char *const malformed[] = {
        "-7", "7.5", "07", "7e3", "\"7\"", "", "99999999999999999999", "7,\"tally\":8"};
    for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++) {
        (void)read_cached(cache, "vm-1", "1009", "pulling");
        bd_heartbeat_cache_take_counts(cache, &total, &hits);
        (void)read_cached(cache, "vm-1", malformed[i], "pulling");
        bd_heartbeat_cache_take_counts(cache, &total, &hits);
        inputs_check(total == 1 && hits == 0,
                     "a heartbeat with a malformed sequence number is not a cache hit");
    }
}

static void check_eviction(struct bd_heartbeat_cache *cache)
{
    uint32_t total, hits;
    for (int i = 0; i < 200; i++) {
        char name[16];
        snprintf(name, sizeof name, "vm-%d", i);
        (void)read_cached(cache, name, "1", "running");
    }
    bd_heartbeat_cache_take_counts(cache, &total, &hits);
    (void)read_cached(cache, "vm-199", "2", "running");
    (void)read_cached(cache, "vm-0", "2", "running");
    bd_heartbeat_cache_take_counts(cache, &total, &hits);
    inputs_check(hits == 1,
                 "after 200 machines, only one of the newest and the oldest heartbeat is cached");
}

/* A heartbeat from the cache equals one that is parsed. Only a heartbeat that differs in nothing
 * but the sequence number is a cache hit. */
void inputs_cached_heartbeats(void)
{
    uint32_t total, hits;
    struct bd_heartbeat_cache *cache = bd_heartbeat_cache_new(4096);
    if (!cache)
        exit(2);
    const struct bd_heartbeat *heartbeat = read_cached(cache, "vm-1", "7", "running");
    inputs_check(heartbeat && heartbeat->seq == 7 && heartbeat->task_count == 1 &&
                     heartbeat->tasks[0].execution == BD_EXECUTION_RUNNING,
                 "a heartbeat is read");
    heartbeat = read_cached(cache, "vm-1", "1008", "running");
    inputs_check(heartbeat && heartbeat->seq == 1008 && heartbeat->incarnation == 1 &&
                     heartbeat->fencing_token == 4 && heartbeat->task_count == 1 &&
                     strcmp(heartbeat->machine, "vm-1") == 0 &&
                     heartbeat->tasks[0].execution == BD_EXECUTION_RUNNING,
                 "a heartbeat that differs only in its sequence number reads the same");
    heartbeat = read_cached(cache, "vm-1", "1009", "pulling");
    inputs_check(heartbeat && heartbeat->seq == 1009 &&
                     heartbeat->tasks[0].execution == BD_EXECUTION_FETCHING_IMAGE,
                 "a changed task state is read");
    heartbeat = read_cached(cache, "vm-2", "1010", "pulling");
    inputs_check(heartbeat && heartbeat->seq == 1010 && strcmp(heartbeat->machine, "vm-2") == 0,
                 "another machine's heartbeat is read");
    bd_heartbeat_cache_take_counts(cache, &total, &hits);
    inputs_check(total == 4 && hits == 1, "only the unchanged heartbeat was a cache hit");
    check_malformed_sequence_numbers(cache);
    inputs_check(!read_cached(cache, "vm-1", "7.5", "pulling") &&
                     !read_cached(cache, "vm-1", "", "pulling"),
                 "a malformed heartbeat is refused while a valid one is cached");
    check_eviction(cache);
    bd_heartbeat_cache_free(cache);
}

void inputs_records(void)
{
    struct bd_job_record record, back;
    char id[BD_JOB_ID_BYTES];
    json_t *submission =
        json_loads("{\"id\":\"job-1\",\"kin\":\"k\",\"household\":\"t\",\"shape\":\"gang\","
                   "\"rank\":\"high\",\"chores\":3,\"vcpus\":1.5,\"accelerators\":0,"
                   "\"memGb\":2,\"seed\":\"i\",\"imageGb\":1,\"breeds\":[\"a\",\"b\"],"
                   "\"glade\":\"z\",\"together\":true,\"scatter\":false,\"windfall\":true,"
                   "\"guessS\":1,\"markS\":2,\"stowS\":3,\"dueS\":null}",
                   0, NULL);
    memset(&record, 0, sizeof record);
    inputs_check(bd_wire_read_submission(submission, id, &record.spec) == NULL,
                 "record: the submission is accepted");
    json_decref(submission);
    record.state = BD_JOB_ACTIVE;
    record.tasks = 3;
    record.submitted_at = 1000.5;
    record.has_spec = true;
    json_t *value = bd_wire_write_job_record(&record);
    inputs_check(bd_wire_read_job_record(value, &back) && back.spec.type_count == 2 &&
                     back.tasks == 3 && back.submitted_at == 1000.5 &&
                     strcmp(back.spec.zone, "z") == 0 && back.spec.deadline_s < 0,
                 "a record is read as written");
    json_decref(value);
    static const char *const bad[] = {"{}",
                                      "{\"s\":\"live\",\"n\":3,\"at\":1}",
                                      "{\"s\":\"odd\",\"n\":3,\"at\":1}",
                                      "{\"s\":\"done\",\"n\":0,\"at\":1}",
                                      "[]",
                                      "7"};
    for (size_t i = 0; i < sizeof bad / sizeof *bad; i++) {
        value = json_loads(bad[i], JSON_DECODE_ANY, NULL);
        inputs_check(!bd_wire_read_job_record(value, &back), bad[i]);
        json_decref(value);
    }
}

void inputs_cloud(void)
{
    struct bd_machine_type_text types[2];
    struct bd_cloud_machine machines[2];
    bool more = false;
    json_t *response = json_loads("{\"breeds\":[{\"label\":\"x\"},7,{\"label\":\"g\",\"vcpus\":4,"
                                  "\"memGb\":8,\"hourly\":1}]}",
                                  0, NULL);
    inputs_check(bd_wire_read_machine_types(response, types, 2) == 1 &&
                     strcmp(types[0].label, "g") == 0,
                 "malformed machine types are skipped");
    json_decref(response);
    response = json_loads("{\"hearths\":[{\"id\":\"vm-1\"}],\"more\":false}", 0, NULL);
    inputs_check(bd_wire_read_machines(response, machines, 2, &more) == -1,
                 "a list with a malformed machine is refused");
    json_decref(response);
    response = json_loads("{}", 0, NULL);
    inputs_check(bd_wire_read_machine_types(response, types, 2) == -1 &&
                     bd_wire_read_machines(response, machines, 2, &more) == -1,
                 "a response without a list is refused");
    json_decref(response);
}
