/* Malformed input: settings files, operators' files, and everything the wire brings. */
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "wire/frame.h"
#include "wire/heartbeat_cache.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "wire/wire_cloud.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_workers.h"

static int faults;

static void check(int ok, const char *what)
{
    if (!ok) {
        printf("FAIL %s\n", what);
        faults++;
    }
}

static char *text_of(const char *dir, const char *name)
{
    char path[512];
    snprintf(path, sizeof path, "%s/%s", dir, name);
    FILE *f = fopen(path, "rb");
    char *buf = calloc(1, 65536);
    if (!f || !buf || fread(buf, 1, 65535, f) == 0) {
        fprintf(stderr, "%s cannot be read\n", path);
        exit(2);
    }
    (void)fclose(f);
    return buf;
}

static void put(const char *path, const char *text)
{
    FILE *f = fopen(path, "wb");
    if (!f || fwrite(text, 1, strlen(text), f) != strlen(text) || fclose(f) != 0)
        exit(2);
}

/* The settings with one thing replaced must be refused, and the line must name file and field. */
static void bad_settings(const char *good, const char *from, const char *to, const char *field)
{
    char path[] = "/tmp/bd-inputs-XXXXXX", err[256] = "", what[128];
    struct bd_settings *s = calloc(1, sizeof *s);
    const char *at = strstr(good, from);
    int fd = mkstemp(path);
    if (!s || !at || fd < 0)
        exit(2);
    (void)close(fd);
    size_t cap = strlen(good) + strlen(to) + 1;
    char *bad = malloc(cap);
    snprintf(bad, cap, "%.*s%s%s", (int)(at - good), good, to, at + strlen(from));
    put(path, bad);
    int rc = bd_settings_load(s, path, err, sizeof err);
    snprintf(what, sizeof what, "settings: %s", field);
    check(rc == -1 && strstr(err, path) && strstr(err, field) && !strchr(err, '\n'), what);
    (void)unlink(path);
    free(bad);
    free(s);
}

/* With the limits that are to come, wholly or in part: the smaller of the two count. */
static void next_limits(const char *good, const char *next, size_t value, size_t ops, double rate)
{
    char path[] = "/tmp/bd-inputs-XXXXXX", err[256] = "";
    const char *at = strstr(good, "\"txn_ops\": 24");
    struct bd_settings *s = calloc(1, sizeof *s);
    int fd = mkstemp(path);
    if (!s || !at || fd < 0)
        exit(2);
    (void)close(fd);
    size_t head = (size_t)(at - good) + strlen("\"txn_ops\": 24"), cap = strlen(good) + 256;
    char *text = malloc(cap);
    snprintf(text, cap, "%.*s%s%s", (int)head, good, next, good + head);
    put(path, text);
    check(bd_settings_load(s, path, err, sizeof err) == 0 && s->kv_value_bytes_max == value &&
              s->kv_txn_ops_max == ops && s->kv_writes_per_s == rate,
          *next ? next : "no limits to come");
    (void)unlink(path);
    free(text);
    free(s);
}

static void settings(const char *dir)
{
    char err[256], path[512];
    struct bd_settings *s = calloc(1, sizeof *s);
    char *good = text_of(dir, "settings.json");
    snprintf(path, sizeof path, "%s/settings.json", dir);
    check(bd_settings_load(s, path, err, sizeof err) == 0, "good settings");
    check(s->npeers == 2 && s->nteams == 2 && s->nslos == 2 && s->nzones == 2 &&
              bd_to_secs(s->lease) == 10.0 && s->kv_txn_ops_max == 24,
          "good settings are read");
    bad_settings(good, "\"node_name\": \"node-0\"", "\"node_name\": 7", "node_name");
    bad_settings(good, "\"front\"", "\"fronts\"", "front");
    bad_settings(good, "\"lease_s\": 10.0", "\"lease_s\": \"long\"", "lease_s");
    bad_settings(good, "\"lease_s\": 10.0", "\"lease_s\": -1", "lease_s");
    bad_settings(good, "\"cancel_s\": 35.0", "\"cancel_s\": 10.5", "cancel_s");
    bad_settings(good, "\"txn_ops\": 24", "\"txn_ops\": 0", "txn_ops");
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
    bad_settings(good, "\"ram_mb\": 72.0", "\"ram_mb\": 7", "ram_mb");
    bad_settings(good, "\"max_sockets\": 1000", "\"max_sockets\": 100", "max_sockets");
    static const char *const state = "\"txn_ops\": 24";
    bad_settings(good, state, "\"txn_ops\": 24, \"next\": 7", "next");
    bad_settings(good, state, "\"txn_ops\": 24, \"next\": {\"txn_ops\": \"8\"}", "txn_ops");
    bad_settings(good, state, "\"txn_ops\": 24, \"next\": {\"value_kb\": -2}", "value_kb");
    bad_settings(good, state, "\"txn_ops\": 24, \"next\": {\"write_rps\": 0}", "write_rps");
    next_limits(good, "", 8192, 24, 100);
    next_limits(good, ", \"next\": null", 8192, 24, 100);
    next_limits(good, ", \"next\": {}", 8192, 24, 100);
    next_limits(good, ", \"next\": {\"value_kb\": 2.0, \"odd\": []}", 2048, 24, 100);
    next_limits(good, ", \"next\": {\"txn_ops\": 8, \"write_rps\": 70.5}", 8192, 8, 70.5);
    next_limits(good, ", \"next\": {\"value_kb\": 64, \"txn_ops\": 99}", 8192, 24, 100);
    bad_settings(good, "\"external\": {", "\"external\": [], \"x\": {", "external");
    bad_settings(good, "\"teams\": [", "\"teams\": 3, \"x\": [", "teams");
    char many[4096] = "\"objectives\": [";
    for (int i = 0; i <= BD_MAX_SLOS; i++) /* one more than there is room for */
        strcat(many, "{\"kind\": \"wait\"}, ");
    bad_settings(good, "\"objectives\": [", many, "objectives");
    bad_settings(good, "{", "[", "line");
    check(bd_settings_load(s, "/nonexistent", err, sizeof err) == -1, "no file");
    free(good);
    free(s);
}

static int operators(const char *text, char *err, size_t cap, struct bd_settings *s)
{
    char path[] = "/tmp/bd-inputs-XXXXXX";
    int fd = mkstemp(path);
    if (fd < 0)
        exit(2);
    (void)close(fd);
    put(path, text);
    int rc = bd_settings_operator(s, path, err, cap);
    (void)unlink(path);
    return rc;
}

static void operator_files(void)
{
    char err[256];
    struct bd_settings *s = calloc(1, sizeof *s);
    check(operators("(brambledoor (spare-share 0.2) (idle-boots 2))", err, sizeof err, s) == 0 &&
              s->headroom_share == 0.2 && s->idle_boots == 2,
          "operators' file");
    check(operators("(leader-ttl-s 4)", err, sizeof err, s) == 0 &&
              bd_to_secs(s->leader_ttl) == 4.0,
          "operators' file without the outer list");
    check(operators("(spare-share much)", err, sizeof err, s) == -1 && strstr(err, "spare-share"),
          "operators: not a number");
    check(operators("(no-such 1)", err, sizeof err, s) == -1 && strstr(err, "no-such"),
          "operators: unknown field");
    check(operators("(spare-share 0.2", err, sizeof err, s) == -1, "operators: cut off");
    check(operators("spare-share 0.2", err, sizeof err, s) == -1, "operators: no list");
    free(s);
}

static const char *submission(const char *text)
{
    char id[BD_ID];
    struct bd_spec_text spec;
    json_t *o = json_loads(text, 0, NULL);
    const char *bad = o ? bd_wire_submission(o, id, &spec) : "body";
    json_decref(o);
    return bad;
}

/* Every field of a good submission, taken away and with a value of a wrong type. */
static void submissions(const char *dir)
{
    char *good = text_of(dir, "submission.json");
    json_t *o = json_loads(good, 0, NULL), *v;
    const char *key;
    void *next;
    check(submission(good) == NULL, "a good submission");
    json_t *copy = json_deep_copy(o);
    json_object_foreach_safe(copy, next, key, v)
    {
        bool may_be_missing =
            strcmp(key, "breeds") == 0 || strcmp(key, "glade") == 0 || strcmp(key, "dueS") == 0;
        json_t *one = json_deep_copy(o);
        json_object_del(one, key);
        char *text = json_dumps(one, 0);
        check((submission(text) == NULL) == may_be_missing, key);
        free(text);
        json_object_set_new(one, key, json_pack("{s:i}", "x", 1));
        text = json_dumps(one, 0);
        check(submission(text) != NULL, key);
        free(text);
        json_decref(one);
    }
    json_decref(copy);
    static const char *const wrong[][2] = {
        {"chores", "0"},      {"chores", "100001"},  {"chores", "1.5"},       {"vcpus", "-1"},
        {"vcpus", "1e300"},   {"shape", "\"ring\""}, {"rank", "\"highest\""}, {"id", "\"job-\""},
        {"id", "\"job-1x\""}, {"breeds", "[1]"},     {"seed", "\"\""},        {"dueS", "\"soon\""}};
    for (size_t i = 0; i < sizeof wrong / sizeof *wrong; i++) {
        json_t *one = json_deep_copy(o);
        json_object_set_new(one, wrong[i][0], json_loads(wrong[i][1], JSON_DECODE_ANY, NULL));
        char *text = json_dumps(one, 0);
        check(submission(text) != NULL, wrong[i][1]);
        free(text);
        json_decref(one);
    }
    json_decref(o);
    free(good);
}

/* What a submission may say of the jobs it waits for; expected: how many names are left, or -1. */
static void parents(void)
{
    static const struct {
        const char *text;
        int names;
    } forms[] = {{"{}", 0},
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
    for (size_t i = 0; i < sizeof forms / sizeof *forms; i++) {
        json_t *o = json_loads(forms[i].text, 0, NULL), *names = NULL;
        bool ok = bd_wire_parents(o, &names);
        check(ok == (forms[i].names >= 0) &&
                  json_array_size(names) == (size_t)(forms[i].names > 0 ? forms[i].names : 0) &&
                  (names != NULL) == (forms[i].names > 0),
              forms[i].text);
        json_decref(names);
        json_decref(o);
    }
}

static bool report_ok(const char *text, size_t len)
{
    struct bd_heartbeat r;
    json_t *o = json_loadb(text, len, 0, NULL);
    bool ok = o && bd_wire_heartbeat(o, &r);
    if (ok)
        bd_wire_heartbeat_release(&r);
    json_decref(o);
    return ok;
}

static void heartbeats(const char *dir)
{
    char *good = text_of(dir, "report.json");
    size_t len = strlen(good);
    check(report_ok(good, len), "a good report");
    for (size_t n = 0; n + 2 < len; n++)
        check(!report_ok(good, n), "a report that is cut off");
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
        check(!report_ok(bad, strlen(bad)), swaps[i][1]);
    }
    free(good);
}

static void records(void)
{
    struct bd_record r, back;
    char id[BD_ID];
    json_t *o = json_loads("{\"id\":\"job-1\",\"kin\":\"k\",\"household\":\"t\",\"shape\":\"gang\","
                           "\"rank\":\"high\",\"chores\":3,\"vcpus\":1.5,\"accelerators\":0,"
                           "\"memGb\":2,\"seed\":\"i\",\"imageGb\":1,\"breeds\":[\"a\",\"b\"],"
                           "\"glade\":\"z\",\"together\":true,\"scatter\":false,\"windfall\":true,"
                           "\"guessS\":1,\"markS\":2,\"stowS\":3,\"dueS\":null}",
                           0, NULL);
    memset(&r, 0, sizeof r);
    check(bd_wire_submission(o, id, &r.spec) == NULL, "record: submission");
    json_decref(o);
    r.state = BD_JOB_ACTIVE;
    r.tasks = 3;
    r.at = 1000.5;
    r.has_spec = true;
    json_t *v = bd_wire_record(&r);
    check(bd_wire_read_record(v, &back) && back.spec.ntypes == 2 && back.tasks == 3 &&
              back.at == 1000.5 && strcmp(back.spec.zone, "z") == 0 && back.spec.deadline_s < 0,
          "a record survives being written and read");
    json_decref(v);
    static const char *const bad[] = {"{}",
                                      "{\"s\":\"live\",\"n\":3,\"at\":1}",
                                      "{\"s\":\"odd\",\"n\":3,\"at\":1}",
                                      "{\"s\":\"done\",\"n\":0,\"at\":1}",
                                      "[]",
                                      "7"};
    for (size_t i = 0; i < sizeof bad / sizeof *bad; i++) {
        v = json_loads(bad[i], JSON_DECODE_ANY, NULL);
        check(!bd_wire_read_record(v, &back), bad[i]);
        json_decref(v);
    }
}

static void cloud(void)
{
    struct bd_type_text t[2];
    struct bd_cloud_machine m[2];
    bool more = false;
    json_t *o = json_loads("{\"breeds\":[{\"label\":\"x\"},7,{\"label\":\"g\",\"vcpus\":4,"
                           "\"memGb\":8,\"hourly\":1}]}",
                           0, NULL);
    check(bd_wire_types(o, t, 2) == 1 && strcmp(t[0].label, "g") == 0,
          "types that cannot be read are passed over");
    json_decref(o);
    o = json_loads("{\"hearths\":[{\"id\":\"vm-1\"}],\"more\":false}", 0, NULL);
    check(bd_wire_machines(o, m, 2, &more) == -1, "a list that cannot be read is a failure");
    json_decref(o);
    o = json_loads("{}", 0, NULL);
    check(bd_wire_types(o, t, 2) == -1 && bd_wire_machines(o, m, 2, &more) == -1, "no list");
    json_decref(o);
}

/* Frames between controllers: written and read back, cut off at every byte, and each byte changed
 * in turn must never be taken for more than the frame holds. */
static void frames(void)
{
    unsigned char buf[BD_FRAME_MAX];
    struct bd_frame *f = calloc(1, sizeof *f), *g = calloc(1, sizeof *g);
    f->type = BD_FRAME_STATUS;
    snprintf(f->name, sizeof f->name, "node-7");
    f->term = 0x0102030405060708u;
    f->flags = BD_PEER_KV_REACHABLE;
    f->age_ms = 1500;
    size_t n = bd_frame_write(f, buf, sizeof buf);
    check(n > 0 && bd_frame_read(buf, n, g) == (long)n && strcmp(g->name, "node-7") == 0 &&
              g->term == f->term && g->flags == f->flags && g->age_ms == 1500,
          "a status frame survives");
    for (size_t i = 0; i < n; i++)
        check(bd_frame_read(buf, i, g) == 0, "a frame that is cut off waits for more");
    check(bd_frame_write(f, buf, 16) == 0, "a frame that does not fit is not written");
    f->type = BD_FRAME_PROGRESS;
    f->count = 2;
    snprintf(f->jobs[0].id, BD_ID, "job-1");
    f->jobs[0].done = 3;
    snprintf(f->jobs[1].id, BD_ID, "job-22");
    f->jobs[1].running = 100000;
    n = bd_frame_write(f, buf, sizeof buf);
    check(n > 0 && bd_frame_read(buf, n, g) == (long)n && g->count == 2 && g->jobs[0].done == 3 &&
              strcmp(g->jobs[1].id, "job-22") == 0 && g->jobs[1].running == 100000,
          "a progress frame survives");
    f->type = BD_FRAME_CANCELLED;
    f->text = "job-23";
    f->len = 6;
    size_t news = bd_frame_write(f, buf + n, sizeof buf - n);
    check(news > 0 && bd_frame_read(buf + n, news, g) == (long)news && g->len == 6 &&
              memcmp(g->text, "job-23", 6) == 0,
          "news of a cancellation survives");
    f->type = BD_FRAME_ANSWER;
    f->id = 77;
    f->status = 421;
    f->text = "{\"steward\":\"node-1\"}";
    f->len = (uint32_t)strlen(f->text);
    size_t m = bd_frame_write(f, buf + n, sizeof buf - n);
    check(m > 0 && bd_frame_read(buf + n, m, g) == (long)m && g->id == 77 && g->status == 421 &&
              g->len == f->len && memcmp(g->text, f->text, f->len) == 0,
          "an answer frame survives");
    buf[n + 12 + 8 + 2 + 3]++; /* the text's length goes past the frame */
    check(bd_frame_read(buf + n, m, g) == -1, "a text longer than its frame is refused");
    int refused = 0;
    for (size_t i = 0; i < n; i++) {
        for (unsigned bit = 0; bit < 8; bit++) {
            buf[i] ^= (unsigned char)(1u << bit);
            long used = bd_frame_read(buf, n, g);
            check(used <= (long)n && g->count <= BD_FRAME_JOBS + 0u + (used < 0 ? 65535u : 0u),
                  "a changed frame");
            refused += used < 0;
            buf[i] ^= (unsigned char)(1u << bit);
        }
    }
    check(refused > 50, "changed frames are refused");
    buf[8] = 0xff;
    check(bd_frame_read(buf, n, g) == -1, "an over-long frame is refused at once");
    free(f);
    free(g);
}

/* What the version in production wrote, captured by running it (`loopback OLD capture DIR`). */
static void production(const char *dir)
{
    char path[512];
    unsigned char buf[8192];
    struct bd_record r;
    struct bd_frame *f = calloc(1, sizeof *f);
    int jobs[3] = {0}, intents = 0, frames = 0;
    json_t *v;
    const char *key;
    snprintf(path, sizeof path, "%s/production-records.json", dir);
    json_t *all = json_load_file(path, 0, NULL);
    json_object_foreach(all, key, v)
    {
        intents += strncmp(key, "i/", 2) == 0;
        if (strncmp(key, "j/", 2) != 0)
            continue;
        bool ok = bd_wire_read_record(v, &r);
        check(ok && !r.parents.names && !r.parents.parts && !r.parents.damaged && r.end == 0, key);
        jobs[ok ? r.state : 0]++;
    }
    check(jobs[BD_JOB_ACTIVE] == 2 && jobs[BD_JOB_DONE] == 1 && jobs[BD_JOB_CANCELLED] == 1 &&
              intents > 0,
          "records of production");
    json_decref(all);
    snprintf(path, sizeof path, "%s/production-frames.bin", dir);
    FILE *in = fopen(path, "rb");
    size_t len = in ? fread(buf, 1, sizeof buf, in) : 0, at = 0;
    if (in)
        (void)fclose(in);
    for (long used = 1; used > 0 && at < len; at += (size_t)(used > 0 ? used : 0)) {
        used = bd_frame_read(buf + at, len - at, f);
        check(used >= 0 && (used == 0 || f->type != BD_FRAME_STATUS ||
                            (strcmp(f->name, "node-0") == 0 && !(f->flags & BD_PEER_KNOWS_DAG))),
              "a frame of production");
        frames += used > 0;
    }
    check(frames > 5 && len - at < 100, "frames of production");
    free(f);
}

/* A report as a worker writes it; each part may be another one. */
static const struct bd_heartbeat *read_cached(struct bd_heartbeat_cache *c, const char *machine,
                                              const char *number, const char *state)
{
    char text[512];
    snprintf(text, sizeof text,
             "{\"hearth\":\"%s\",\"endpoint\":\"10.1.0.2:9000\",\"breed\":\"a\",\"glade\":\"b\","
             "\"windfall\":false,\"tenancy\":1,\"tally\":%s,\"seal\":4,\"warningS\":null,"
             "\"chores\":[{\"chore\":\"job-1/3\",\"try\":2,\"mood\":\"%s\"}]}",
             machine, number, state);
    return bd_heartbeat_cache_read(c, text, strlen(text));
}

/* What is not read anew says the same as what is; nothing else is taken for a repetition. */
static void cached_reports(void)
{
    uint32_t all, repeated;
    struct bd_heartbeat_cache *c = bd_heartbeat_cache_new(4096);
    if (!c)
        exit(2);
    const struct bd_heartbeat *r = read_cached(c, "vm-1", "7", "running");
    check(r && r->seq == 7 && r->n == 1 && r->tasks[0].execution == BD_EXECUTION_RUNNING,
          "a report is read");
    r = read_cached(c, "vm-1", "1008", "running");
    check(r && r->seq == 1008 && r->incarnation == 1 && r->fencing_token == 4 && r->n == 1 &&
              strcmp(r->machine, "vm-1") == 0 && r->tasks[0].execution == BD_EXECUTION_RUNNING,
          "one that only has another number says the same");
    r = read_cached(c, "vm-1", "1009", "pulling");
    check(r && r->seq == 1009 && r->tasks[0].execution == BD_EXECUTION_FETCHING,
          "another state is seen");
    r = read_cached(c, "vm-2", "1010", "pulling");
    check(r && r->seq == 1010 && strcmp(r->machine, "vm-2") == 0, "another machine is seen");
    bd_heartbeat_cache_counts(c, &all, &repeated);
    check(all == 4 && repeated == 1, "only the one was a repetition");
    static const char *const odd[] = {
        "-7", "7.5", "07", "7e3", "\"7\"", "", "99999999999999999999", "7,\"tally\":8"};
    for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++) {
        (void)read_cached(c, "vm-1", "1009", "pulling");
        bd_heartbeat_cache_counts(c, &all, &repeated);
        (void)read_cached(c, "vm-1", odd[i], "pulling");
        bd_heartbeat_cache_counts(c, &all, &repeated);
        check(all == 1 && repeated == 0, "an odd number is left to the JSON parser");
    }
    check(!read_cached(c, "vm-1", "7.5", "pulling") && !read_cached(c, "vm-1", "", "pulling"),
          "a malformed report is refused though a good one is kept");
    for (int i = 0; i < 200; i++) {
        char name[16];
        snprintf(name, sizeof name, "vm-%d", i);
        (void)read_cached(c, name, "1", "running");
    }
    bd_heartbeat_cache_counts(c, &all, &repeated);
    (void)read_cached(c, "vm-199", "2", "running");
    (void)read_cached(c, "vm-0", "2", "running");
    bd_heartbeat_cache_counts(c, &all, &repeated);
    check(repeated == 1, "the oldest reports leave when there is no room");
    bd_heartbeat_cache_free(c);
}

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    settings(argv[1]);
    operator_files();
    submissions(argv[1]);
    parents();
    heartbeats(argv[1]);
    cached_reports();
    records();
    cloud();
    frames();
    production(argv[1]);
    printf("%d faults\n", faults);
    return faults ? 1 : 0;
}
