/* Drains as administrators ask for and see them. Any controller takes a request, as for jobs: it
 * looks at the cloud's list for what is meant, writes the machines' records, and then the drain's
 * own on condition that there is none. A crash in between leaves records that nobody refers to. */
#include "adapters/admin_store.h"
#include "adapters/cloud_client.h"
#include "adapters/kv_client.h"
#include "adapters/node.h"
#include "base/timeutil.h"
#include "drain/drain.h"
#include "drain/drain_record.h"
#include "drain/drain_request.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define ANSWER_S 2.5
#define TXN_BYTES 50000u
#define CHANGE_TRIES 3 /* somebody else may change the record at the same moment */
#define RETRY_S 1
#define PATH_BYTES 256

enum { OK = 200, CREATED = 201, MALFORMED = 400, UNKNOWN = 404, CONFLICT = 409, UNAVAILABLE = 503 };

/* ---- answers ---- */

struct bd_admin_answer bd_admin_refuse(int status, const char *field, const char *why)
{
    json_t *body = json_pack("{s:s}", "error", why);
    if (*field)
        json_object_set_new(body, "field", json_string(field));
    return (struct bd_admin_answer){status, status == UNAVAILABLE ? RETRY_S : 0, body};
}

static struct bd_admin_answer unavailable(const char *why)
{
    return bd_admin_refuse(UNAVAILABLE, "", why);
}

static json_t *view(const struct bd_drain_record *record)
{
    json_t *v =
        json_pack("{s:s,s:s,s:s,s:f,s:i}", "name", record->name, "mode",
                  bd_drain_mode_name(record->mode), "state", bd_drain_state_name(record->state),
                  "asked_at", record->at, "machines", (int)record->machines);
    if (record->ended > 0)
        json_object_set_new(v, "ended_at", json_real(record->ended));
    return v;
}

static json_t *machine_view(const struct bd_drain_machine *m)
{
    json_t *v = json_pack("{s:s,s:s,s:f}", "machine", m->id, "stage", bd_drain_stage_name(m->stage),
                          "since", m->since);
    if (m->wait != BD_DRAIN_WAIT_NOTHING)
        json_object_set_new(v, "waits_for", json_string(bd_drain_wait_name(m->wait)));
    if (*m->team)
        json_object_set_new(v, "team", json_string(m->team));
    if (*m->replacement)
        json_object_set_new(v, "replacement", json_string(m->replacement));
    return v;
}

/* ---- reading ---- */

/* A drain's record; `page` holds what it borrows and is to be dropped. The status as the state
 * service gave it, 0: no answer that can be read. */
static long read_record(const struct bd_admin_store *store, const char *name,
                        struct bd_drain_record *out, json_t **page)
{
    char path[PATH_BYTES];
    struct bd_change ch;
    uint64_t grant;
    *page = NULL;
    snprintf(path, sizeof path, BD_PATH_KEYS "/" BD_DRAIN_KEY "%s", name);
    long status = bd_kv_call(store->node, store->http, "GET", path, NULL, ANSWER_S, page);
    if (status == OK && (!bd_wire_pair(*page, &ch, &grant) ||
                         !bd_drain_record_read(name, ch.value, ch.revision, out)))
        return 0;
    return status;
}

struct bd_admin_answer bd_admin_list(const struct bd_admin_store *store)
{
    json_t *pairs = bd_kv_list(store->node, store->http, BD_DRAIN_KEY), *v;
    json_t *drains = json_array();
    struct bd_drain_record record;
    struct bd_change ch;
    size_t i;
    if (!pairs) {
        json_decref(drains);
        return unavailable("state service not reached");
    }
    json_array_foreach(pairs, i, v)
    {
        if (bd_wire_change(v, &ch) &&
            bd_drain_record_read(ch.key + strlen(BD_DRAIN_KEY), ch.value, ch.revision, &record))
            json_array_append_new(drains, view(&record));
    }
    json_decref(pairs);
    return (struct bd_admin_answer){OK, 0, json_pack("{s:o}", "drains", drains)};
}

/* The machines of a set; false: not reached, or damaged. */
static bool read_set(const struct bd_admin_store *store, const char *set,
                     struct bd_drain_machine **machines, uint32_t *n)
{
    char prefix[BD_LABEL];
    struct bd_change ch;
    json_t *v;
    size_t i;
    snprintf(prefix, sizeof prefix, BD_DRAIN_SET "%s/", set);
    json_t *pairs = bd_kv_list(store->node, store->http, prefix);
    bool ok = pairs != NULL;
    json_array_foreach(pairs, i, v)
    {
        ok = ok && bd_wire_change(v, &ch) && bd_drain_part_read(ch.value, machines, n);
    }
    json_decref(pairs);
    return ok;
}

struct bd_admin_answer bd_admin_show(const struct bd_admin_store *store, const char *name)
{
    struct bd_drain_record record;
    struct bd_drain_machine *machines = NULL;
    uint32_t n = 0, stages[BD_STAGES] = {0};
    json_t *page;
    long status = read_record(store, name, &record, &page);
    if (status != OK || !read_set(store, record.set, &machines, &n)) {
        json_decref(page);
        free(machines);
        return status == UNKNOWN ? bd_admin_refuse(UNKNOWN, "name", "no such drain")
                                 : unavailable("state service not reached");
    }
    json_t *body = view(&record), *counts = json_object(), *list = json_array();
    for (uint32_t i = 0; i < n; i++) {
        stages[machines[i].stage]++;
        json_array_append_new(list, machine_view(&machines[i]));
    }
    for (int i = 0; i < BD_STAGES; i++)
        json_object_set_new(counts, bd_drain_stage_name((enum bd_drain_stage)i),
                            json_integer((json_int_t)stages[i]));
    json_object_set_new(body, "stages", counts);
    json_object_set_new(body, "entries", list);
    json_decref(page);
    free(machines);
    return (struct bd_admin_answer){OK, 0, body};
}

/* ---- creating ---- */

/* What a repeated request is compared with: the list of machines may be longer than a value. */
static json_t *asked_of(json_t *o)
{
    json_t *asked = json_copy(o), *machines = json_object_get(o, "machines");
    char text[BD_HASH];
    if (json_array_size(machines) > 0) {
        snprintf(text, sizeof text, "%016llx", (unsigned long long)bd_wire_names_hash(machines));
        json_object_set_new(asked, "machines", json_string(text));
    }
    return asked;
}

/* The drain that is there under the name: the same once more, or another one. */
static struct bd_admin_answer known(const struct bd_drain_record *record, json_t *asked)
{
    if (!json_equal(record->asked, asked))
        return bd_admin_refuse(CONFLICT, "name", "another drain has this name");
    return (struct bd_admin_answer){OK, 0, view(record)};
}

static bool fresh_set(char *out)
{
    unsigned char raw[8];
    if (getrandom(raw, sizeof raw, 0) != (ssize_t)sizeof raw)
        return false;
    for (size_t i = 0; i < sizeof raw; i++)
        snprintf(out + 2 * i, 3, "%02x", raw[i]);
    return true;
}

static long commit(const struct bd_admin_store *store, struct bd_txn *txn)
{
    json_t *answer = NULL;
    char *body = bd_txn_finish(txn);
    long status =
        bd_kv_call(store->node, store->http, "POST", BD_PATH_COMMIT, body, ANSWER_S, &answer);
    json_decref(answer);
    free(body);
    return status;
}

static struct bd_drain_machine *entries_of(json_t *ids, size_t *longest)
{
    struct timespec wall = {0, 0};
    struct bd_drain_machine *entries = calloc(json_array_size(ids) + 1, sizeof *entries);
    if (!entries)
        abort();
    (void)clock_gettime(CLOCK_REALTIME, &wall);
    *longest = 0;
    for (size_t i = 0; i < json_array_size(ids); i++) {
        const char *id = json_string_value(json_array_get(ids, i));
        snprintf(entries[i].id, sizeof entries[i].id, "%s", id);
        entries[i].stage = BD_STAGE_CORDONED;
        entries[i].since = bd_to_secs(wall);
        *longest = strlen(id) > *longest ? strlen(id) : *longest;
    }
    return entries;
}

/* Writes the parts, as many as fit one transaction at a time. */
static bool write_set(const struct bd_admin_store *store, struct bd_drain_record *record,
                      const struct bd_drain_machine *entries, uint32_t each)
{
    const struct bd_settings *settings = &store->node->settings;
    uint32_t done = 0;
    while (done < record->machines) {
        struct bd_txn txn;
        size_t ops = 0, bytes = 0;
        if (!bd_txn_begin(&txn))
            abort();
        while (done < record->machines && ops < settings->kv_txn_ops_max &&
               (ops == 0 || bytes + settings->kv_value_bytes_max < TXN_BYTES)) {
            char key[BD_LABEL];
            uint32_t n = record->machines - done < each ? record->machines - done : each;
            json_t *value = bd_drain_part_value(entries + done, n);
            char *text = json_dumps(value, JSON_COMPACT);
            bytes += text ? strlen(text) : settings->kv_value_bytes_max;
            free(text);
            bd_drain_part_key(key, sizeof key, record->set, record->parts++);
            bd_txn_put(&txn, key, value, 0);
            done += n;
            ops++;
        }
        if (commit(store, &txn) != OK)
            return false;
    }
    return true;
}

static long write_record(const struct bd_admin_store *store, const struct bd_drain_record *record)
{
    struct bd_txn txn;
    char key[BD_LABEL + 8];
    snprintf(key, sizeof key, BD_DRAIN_KEY "%s", record->name);
    if (!bd_txn_begin(&txn))
        abort();
    bd_txn_compare(&txn, key, record->revision);
    bd_txn_put(&txn, key, bd_drain_record_value(record), 0);
    return commit(store, &txn);
}

/* Somebody else was faster, perhaps our own copy: what stands there is the answer. */
static struct bd_admin_answer after_conflict(const struct bd_admin_store *store, const char *name,
                                             json_t *asked)
{
    struct bd_drain_record record;
    json_t *page;
    long status = read_record(store, name, &record, &page);
    struct bd_admin_answer answer =
        status == OK ? known(&record, asked) : unavailable("state service not reached");
    json_decref(page);
    return answer;
}

static struct bd_admin_answer write_drain(const struct bd_admin_store *store,
                                          const struct bd_drain_request *request, json_t *asked,
                                          json_t *ids)
{
    const struct bd_settings *settings = &store->node->settings;
    struct bd_drain_record record = {.mode = request->mode,
                                     .state = BD_DRAIN_ACTIVE,
                                     .machines = (uint32_t)json_array_size(ids),
                                     .asked = asked};
    size_t longest;
    snprintf(record.name, sizeof record.name, "%s", request->name);
    struct bd_drain_machine *entries = entries_of(ids, &longest);
    record.at = entries[0].since;
    uint32_t each = bd_drain_part_machines(settings, settings->kv_value_bytes_max, longest);
    bool written = each > 0 && fresh_set(record.set) && write_set(store, &record, entries, each);
    free(entries);
    if (each == 0)
        return bd_admin_refuse(MALFORMED, "machines", "a value of the state service holds none");
    long status = written ? write_record(store, &record) : 0;
    if (status == CONFLICT)
        return after_conflict(store, request->name, asked);
    if (status != OK)
        return unavailable("state service not reached");
    return (struct bd_admin_answer){CREATED, 0, view(&record)};
}

/* Which machines are meant is asked of the cloud, not of the leader: any controller can. */
static struct bd_admin_answer create_new(const struct bd_admin_store *store,
                                         const struct bd_drain_request *request, json_t *asked)
{
    struct bd_cloud_machine *listed = NULL;
    struct bd_drain_refusal no;
    size_t n = 0;
    if (!bd_cloud_list(store->node, store->http, &listed, &n)) {
        free(listed);
        return unavailable("cloud not reached");
    }
    json_t *ids =
        bd_drain_request_machines(request, store->node->settings.draining, listed, n, &no);
    free(listed);
    if (!ids)
        return bd_admin_refuse(no.status, no.field, no.why);
    struct bd_admin_answer answer = write_drain(store, request, asked, ids);
    json_decref(ids);
    return answer;
}

struct bd_admin_answer bd_admin_create(const struct bd_admin_store *store, const char *body,
                                       size_t len)
{
    struct bd_drain_request request;
    struct bd_drain_refusal no;
    struct bd_drain_record record;
    json_t *o = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);
    if (!bd_drain_request_read(o, &request, &no)) {
        json_decref(o);
        return bd_admin_refuse(no.status, no.field, no.why);
    }
    json_t *asked = asked_of(o), *page;
    long status = read_record(store, request.name, &record, &page);
    struct bd_admin_answer answer;
    if (status == OK)
        answer = known(&record, asked);
    else if (status == UNKNOWN)
        answer = create_new(store, &request, asked);
    else
        answer = unavailable("state service not reached");
    json_decref(page);
    json_decref(asked);
    json_decref(o);
    return answer;
}

/* ---- changing ---- */

/* The state that the verb asks for; false: a drain that is over stays as it is. */
static bool next_state(enum bd_drain_state now, enum bd_drain_verb verb, enum bd_drain_state *out)
{
    static const enum bd_drain_state asked[] = {BD_DRAIN_PAUSED, BD_DRAIN_ACTIVE,
                                                BD_DRAIN_CALLED_OFF};
    *out = asked[verb];
    bool over = now == BD_DRAIN_DONE || now == BD_DRAIN_CALLED_OFF;
    return !over || now == *out;
}

/* One try; 0: somebody else changed the record at the same moment. */
static struct bd_admin_answer change_once(const struct bd_admin_store *store, const char *name,
                                          enum bd_drain_verb verb)
{
    struct bd_drain_record record;
    struct timespec wall = {0, 0};
    enum bd_drain_state to;
    json_t *page;
    struct bd_admin_answer answer = {0, 0, NULL};
    long status = read_record(store, name, &record, &page);
    if (status == UNKNOWN) {
        answer = bd_admin_refuse(UNKNOWN, "name", "no such drain");
    } else if (status != OK) {
        answer = unavailable("state service not reached");
    } else if (!next_state(record.state, verb, &to)) {
        answer = bd_admin_refuse(CONFLICT, "state", "the drain is over");
    } else {
        (void)clock_gettime(CLOCK_REALTIME, &wall);
        bool same = record.state == to;
        record.state = to;
        record.ended = to == BD_DRAIN_CALLED_OFF && !same ? bd_to_secs(wall) : record.ended;
        status = same ? OK : write_record(store, &record);
        if (status == OK)
            answer = (struct bd_admin_answer){OK, 0, view(&record)};
        else if (status != CONFLICT)
            answer = unavailable("state service not reached");
    }
    json_decref(page);
    return answer;
}

struct bd_admin_answer bd_admin_change(const struct bd_admin_store *store, const char *name,
                                       enum bd_drain_verb verb)
{
    for (int i = 0; i < CHANGE_TRIES; i++) {
        struct bd_admin_answer answer = change_once(store, name, verb);
        if (answer.status != 0)
            return answer;
    }
    return unavailable("the drain is being changed");
}
