/* Drawn heartbeats, and drawn answers of the cloud and the store. */
#include "base/json_number.h"
#include "base/json_reader.h"
#include "base/json_writer.h"
#include "drawn_requests.h"
#include "wire/heartbeat_cache.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CACHE_BYTES 65536
#define TASKS_MAX 4
#define ITEMS_MAX 4

static uint64_t draw_unsigned(struct spelling *spelling)
{
    static const uint64_t numbers[] = {0,
                                       1,
                                       41,
                                       88,
                                       UINT64_C(1000000),
                                       UINT64_C(9007199254740993),
                                       UINT64_C(9223372036854775807),
                                       UINT64_C(9223372036854775808),
                                       UINT64_C(18446744073709551614),
                                       UINT64_MAX};
    return numbers[spelling_draw(spelling, sizeof numbers / sizeof *numbers)];
}

static json_t *parse(const char *text)
{
    return bd_json_read(text, strlen(text), NULL, NULL);
}

/* ---- heartbeats ---- */

static json_t *draw_tasks(struct spelling *spelling)
{
    static const char *const states[] = {"pulling", "gathering", "running", "saving", "exited"};
    json_t *tasks = json_array();
    for (uint64_t i = spelling_draw(spelling, TASKS_MAX + 1); i > 0; i--) {
        char name[BD_LABEL_BYTES];
        snprintf(name, sizeof name, "job-%06llu/%llu",
                 (unsigned long long)spelling_draw(spelling, 1000000), (unsigned long long)i);
        const char *state = states[spelling_draw(spelling, 5)];
        json_t *task = json_pack("{s:s,s:o,s:s}", "chore", name, "try",
                                 bd_json_unsigned(draw_unsigned(spelling)), "mood", state);
        if (strcmp(state, "exited") == 0)
            json_object_set_new(task, "cause", json_string("done"));
        json_array_append_new(tasks, task);
    }
    return tasks;
}

static json_t *draw_heartbeat(struct spelling *spelling)
{
    json_t *notice = spelling_draw(spelling, 2) ? json_null() : json_real(61.5);
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:o,s:o,s:o,s:o,s:o}", "hearth", "vm-000231", "endpoint",
                     "10.1.0.232:9000", "breed", "g8", "glade", "a", "windfall",
                     (int)spelling_draw(spelling, 2), "tenancy",
                     bd_json_unsigned(draw_unsigned(spelling)), "tally",
                     bd_json_unsigned(draw_unsigned(spelling)), "seal",
                     bd_json_unsigned(draw_unsigned(spelling)), "warningS", notice, "chores",
                     draw_tasks(spelling));
}

static bool is_same_task(const struct bd_reported_task *a, const struct bd_reported_task *b)
{
    return strcmp(a->job, b->job) == 0 && a->task == b->task && a->attempt == b->attempt &&
           a->execution == b->execution && a->exit_reason == b->exit_reason;
}

static bool is_same_heartbeat(const struct bd_heartbeat *a, const struct bd_heartbeat *b)
{
    bool is_same = strcmp(a->machine, b->machine) == 0 && strcmp(a->address, b->address) == 0 &&
                   strcmp(a->type, b->type) == 0 && strcmp(a->zone, b->zone) == 0 &&
                   a->spot == b->spot && a->incarnation == b->incarnation && a->seq == b->seq &&
                   a->fencing_token == b->fencing_token && a->notice_s == b->notice_s &&
                   a->task_count == b->task_count;
    for (size_t i = 0; is_same && i < a->task_count; i++)
        is_same = is_same_task(&a->tasks[i], &b->tasks[i]);
    return is_same;
}

/* Whether the heartbeat has the numbers that were written, in the protocol's whole range. */
static bool has_numbers_of(const struct bd_heartbeat *heartbeat, json_t *written)
{
    uint64_t incarnation = 0, seq = 0, token = 0;
    return bd_json_read_unsigned(json_object_get(written, "tenancy"), &incarnation) &&
           bd_json_read_unsigned(json_object_get(written, "tally"), &seq) &&
           bd_json_read_unsigned(json_object_get(written, "seal"), &token) &&
           heartbeat->incarnation == incarnation && heartbeat->seq == seq &&
           heartbeat->fencing_token == token;
}

static struct bd_heartbeat_cache *new_cache(void)
{
    struct bd_heartbeat_cache *cache = bd_heartbeat_cache_new(CACHE_BYTES);
    if (!cache)
        abort();
    return cache;
}

/* Guards against a machine that counts as lost because its heartbeats are spelt in another way. */
static void check_sound_heartbeat(struct spelling *spelling, json_t *written)
{
    struct bd_heartbeat_cache *plain_cache = new_cache(), *cache = new_cache();
    char *plain_text = bd_json_write(written);
    const struct bd_heartbeat *plain =
        bd_heartbeat_cache_read(plain_cache, plain_text, strlen(plain_text));
    drawn_check(plain && has_numbers_of(plain, written), "a plain heartbeat is read", plain_text);
    for (int i = 0; plain && i < 3; i++) { /* through one cache */
        char *text = spelling_write(spelling, written);
        const struct bd_heartbeat *drawn = bd_heartbeat_cache_read(cache, text, strlen(text));
        drawn_check(drawn && is_same_heartbeat(plain, drawn), "a sound heartbeat reads the same",
                    text);
        free(text);
    }
    free(plain_text);
    bd_heartbeat_cache_free(plain_cache);
    bd_heartbeat_cache_free(cache);
}

static void check_unsound_heartbeat(struct spelling *spelling, json_t *written)
{
    static const char *const broken[][2] = {{"tenancy", "18446744073709551616"},
                                            {"tenancy", "-1"},
                                            {"tally", "1.5"},
                                            {"tally", "null"},
                                            {"seal", "\"41\""},
                                            {"seal", "1e20"},
                                            {"chores", "{}"},
                                            {"chores", "[{}]"},
                                            {"hearth", "\"\\ud800\""},
                                            {"windfall", "0"},
                                            {"warningS", "false"},
                                            {"glade", "null"}};
    uint64_t rule = spelling_draw(spelling, sizeof broken / sizeof *broken);
    struct bd_heartbeat_cache *cache = new_cache();
    json_t *rest = json_copy(written);
    char *text = NULL;
    json_object_del(rest, broken[rule][0]);
    char *rest_text = spelling_write(spelling, rest);
    if (asprintf(&text, "{\"%s\":%s,%s", broken[rule][0], broken[rule][1],
                 strchr(rest_text, '{') + 1) < 0)
        abort();
    drawn_check(!bd_heartbeat_cache_read(cache, text, strlen(text)),
                "an unsound heartbeat is refused", text);
    free(text);
    free(rest_text);
    json_decref(rest);
    bd_heartbeat_cache_free(cache);
}

void drawn_heartbeats(struct spelling *spelling)
{
    json_t *written = draw_heartbeat(spelling);
    check_sound_heartbeat(spelling, written);
    check_unsound_heartbeat(spelling, written);
    json_decref(written);
}

/* ---- answers of the cloud ---- */

static json_t *draw_machine_types(struct spelling *spelling)
{
    json_t *types = json_array();
    for (uint64_t i = 1 + spelling_draw(spelling, ITEMS_MAX); i > 0; i--)
        json_array_append_new(types,
                              json_pack("{s:s,s:f,s:i,s:f,s:i,s:f,s:f,s:f,s:i,s:[s,s]}", "label",
                                        "g8", "vcpus", 96.0, "accelerators", (int)i, "memGb", 768.5,
                                        "localGb", 200, "fetchGbPerS", 0.25, "hourly", 12.0,
                                        "marketPrice", 4.5, "readyS", 45, "glades", "a", "größe"));
    return json_pack("{s:o}", "breeds", types);
}

static json_t *draw_machines(struct spelling *spelling)
{
    static const char *const states[] = {"booting", "running", "failed"};
    json_t *machines = json_array();
    for (uint64_t i = 1 + spelling_draw(spelling, ITEMS_MAX); i > 0; i--)
        json_array_append_new(machines,
                              json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "id", "vm-000231",
                                        "endpoint", "10.1.0.232:9000", "breed", "g8", "glade", "a",
                                        "windfall", (int)spelling_draw(spelling, 2), "mood",
                                        states[spelling_draw(spelling, 3)], "heldS", 61.5));
    return json_pack("{s:o,s:b}", "hearths", machines, "more", (int)spelling_draw(spelling, 2));
}

static void check_machine_types(struct spelling *spelling)
{
    static struct bd_machine_type_text plain[ITEMS_MAX], drawn[ITEMS_MAX];
    json_t *written = draw_machine_types(spelling);
    char *text = spelling_write(spelling, written);
    json_t *read = parse(text);
    int count = bd_wire_read_machine_types(written, plain, ITEMS_MAX);
    drawn_check(count > 0 && bd_wire_read_machine_types(read, drawn, ITEMS_MAX) == count &&
                    memcmp(plain, drawn, (size_t)count * sizeof *plain) == 0,
                "sound machine types read the same", text);
    free(text);
    json_decref(read);
    json_decref(written);
}

static void check_machines(struct spelling *spelling)
{
    static struct bd_cloud_machine plain[ITEMS_MAX], drawn[ITEMS_MAX];
    bool plain_more = false, drawn_more = false;
    json_t *written = draw_machines(spelling);
    char *text = spelling_write(spelling, written);
    json_t *read = parse(text);
    int count = bd_wire_read_machines(written, plain, ITEMS_MAX, &plain_more);
    drawn_check(count > 0 && bd_wire_read_machines(read, drawn, ITEMS_MAX, &drawn_more) == count &&
                    plain_more == drawn_more &&
                    memcmp(plain, drawn, (size_t)count * sizeof *plain) == 0,
                "a sound list of machines reads the same", text);
    free(text);
    json_decref(read);
    json_decref(written);
}

void drawn_cloud_answers(struct spelling *spelling)
{
    check_machine_types(spelling);
    check_machines(spelling);
}

/* ---- answers of the store ---- */

/* A job's record, as a controller writes it. */
static json_t *draw_record(struct spelling *spelling)
{
    struct bd_job_record record = {
        .state = BD_JOB_ACTIVE, .tasks = 3, .submitted_at = 1000.5, .has_spec = true};
    struct bd_job_spec_text *spec = &record.spec;
    snprintf(spec->job_class, sizeof spec->job_class, "ride-api");
    snprintf(spec->team, sizeof spec->team, "rider-app");
    snprintf(spec->image, sizeof spec->image, "größe 日本語");
    snprintf(spec->types[0], sizeof spec->types[0], "g8");
    spec->type_count = spelling_draw(spelling, 2) ? 1 : -1;
    spec->tasks = record.tasks;
    spec->cpus = 2.8;
    spec->mem_gb = 1;
    spec->deadline_s = spelling_draw(spelling, 2) ? 900 : -1;
    return bd_wire_write_job_record(&record);
}

static bool is_same_record(json_t *a, json_t *b)
{
    struct bd_job_record first, second;
    if (!bd_wire_read_job_record(a, &first) || !bd_wire_read_job_record(b, &second))
        return false;
    json_t *first_again = bd_wire_write_job_record(&first);
    json_t *second_again = bd_wire_write_job_record(&second);
    bool is_same = json_equal(first_again, second_again);
    json_decref(first_again);
    json_decref(second_again);
    return is_same;
}

/* Guards against a record, a revision or a lease of the store that is lost or changed in reading.
 */
static void check_change(struct spelling *spelling)
{
    uint64_t revision = draw_unsigned(spelling), grant = draw_unsigned(spelling), read_grant = 0;
    json_t *record = draw_record(spelling);
    json_t *written = json_pack("{s:s,s:o,s:o,s:o}", "k", "j/job-000412", "value", record, "mark",
                                bd_json_unsigned(revision), "charter", bd_json_unsigned(grant));
    char *text = spelling_write(spelling, written);
    json_t *read = parse(text);
    struct bd_kv_change change = {0};
    bool is_read = bd_wire_read_pair(read, &change, &read_grant);
    drawn_check(is_read && change.revision == revision && read_grant == grant &&
                    strcmp(change.key, "j/job-000412") == 0,
                "a sound pair of the store is read", text);
    drawn_check(is_read && is_same_record(record, change.value), "a record reads as written", text);
    free(text);
    json_decref(read);
    json_decref(written);
}

/* Guards against a condition or a lease beyond 63 bits that is written as another number. */
static void check_transaction(struct spelling *spelling)
{
    uint64_t revision = draw_unsigned(spelling), read_revision = 0;
    struct bd_txn txn;
    if (!bd_txn_begin(&txn))
        abort();
    bd_txn_compare(&txn, "leader", revision);
    char *text = bd_txn_finish(&txn);
    json_t *read = parse(text);
    json_t *compare = json_array_get(json_object_get(read, "if"), 0);
    drawn_check(bd_json_read_unsigned(json_object_get(compare, "mark"), &read_revision) &&
                    read_revision == revision && !strchr(text, '-'),
                "a condition names the revision", text);
    free(text);
    json_decref(read);
}

/* Guards against a value that an unknown member may have and that makes a message unreadable. */
static void check_unknown_value(struct spelling *spelling)
{
    char *value = spelling_unknown_value(spelling), *text = NULL;
    if (asprintf(&text, "{\"x\":%s,\"ring\":432}", value) < 0)
        abort();
    json_t *read = parse(text);
    drawn_check(bd_wire_read_store_revision(read) == 432, "an unknown member is ignored", text);
    json_decref(read);
    free(text);
    free(value);
}

void drawn_store_answers(struct spelling *spelling)
{
    check_change(spelling);
    check_transaction(spelling);
    check_unknown_value(spelling);
}
