/* Reads the platform's settings (JSON). The only place that knows their field names. */
#include "brambledoor/settings.h"
#include "base/timeutil.h"
#include "runtime/settings_internal.h"
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Less than this cannot serve: the program alone holds some 4 MB, and some 70 sockets are for
 * peers, the key-value store, the cloud and commands to workers. */
#define CPU_MIN 0.002
#define RAM_MB_MIN 8.0
#define SOCKETS_MIN 128.0
#define HEADROOM_SHARE_DEFAULT 1.6
#define IDLE_BOOTS_DEFAULT 0.7
#define CANCEL_MARGIN_S 1.0 /* between a worker's lease and the end of what was cancelled */

void bd_settings_fault(struct bd_settings_reader *reader, const char *field, const char *what)
{
    if (reader->failed)
        return;
    reader->failed = true;
    snprintf(reader->err, reader->errlen, "%s: %s: %s", reader->path, field, what);
}

static void read_text(struct bd_settings_reader *reader, json_t *o, const char *key, char *out)
{
    json_t *v = json_object_get(o, key);
    const char *s = json_string_value(v);
    if (!s || !*s)
        bd_settings_fault(reader, key, "needs a text");
    else if (strlen(s) >= BD_NAME)
        bd_settings_fault(reader, key, "too long");
    else
        strcpy(out, s);
}

static double read_number(struct bd_settings_reader *reader, json_t *o, const char *key, double min)
{
    json_t *v = json_object_get(o, key);
    double d = json_number_value(v);
    if (!json_is_number(v) || !isfinite(d))
        bd_settings_fault(reader, key, "needs a number");
    else if (d < min)
        bd_settings_fault(reader, key, "too small");
    return d;
}

static struct timespec read_duration(struct bd_settings_reader *reader, json_t *o, const char *key,
                                     double min)
{
    return bd_secs(read_number(reader, o, key, min));
}

static json_t *read_object(struct bd_settings_reader *reader, json_t *o, const char *key)
{
    json_t *v = json_object_get(o, key);
    if (!json_is_object(v))
        bd_settings_fault(reader, key, "needs an object");
    return v;
}

static json_t *read_list(struct bd_settings_reader *reader, json_t *o, const char *key, size_t max)
{
    json_t *v = json_object_get(o, key);
    if (!json_is_array(v))
        bd_settings_fault(reader, key, "needs a list");
    else if (json_array_size(v) > max)
        bd_settings_fault(reader, key, "has too many entries");
    return v;
}

static void read_peers(struct bd_settings_reader *reader, json_t *root,
                       struct bd_settings *settings)
{
    json_t *a = read_list(reader, root, "others", BD_MAX_PEERS), *o;
    size_t i;
    if (reader->failed)
        return;
    json_array_foreach(a, i, o)
    {
        read_text(reader, o, "node_name", settings->peers[i].name);
        read_text(reader, o, "location", settings->peers[i].zone);
        read_text(reader, o, "addr", settings->peers[i].addr);
        settings->npeers = (int)i + 1;
    }
}

static void read_teams(struct bd_settings_reader *reader, json_t *facts,
                       struct bd_settings *settings)
{
    json_t *a = read_list(reader, facts, "teams", BD_MAX_TEAMS), *o;
    size_t i;
    if (reader->failed)
        return;
    json_array_foreach(a, i, o)
    {
        struct bd_team_quota *t = &settings->teams[i];
        read_text(reader, o, "name", t->name);
        t->cpus = read_number(reader, o, "cpus", 0);
        t->cpus_quota = read_number(reader, o, "cpus_max", 0);
        t->gpus = read_number(reader, o, "gpus", 0);
        t->gpus_quota = read_number(reader, o, "gpus_max", 0);
        settings->nteams = (int)i + 1;
    }
}

static enum bd_slo_kind slo_kind(const char *name)
{
    if (name && strcmp(name, "wait") == 0)
        return BD_SLO_WAIT;
    if (name && strcmp(name, "finished") == 0)
        return BD_SLO_FINISHED;
    if (name && strcmp(name, "guarantee") == 0)
        return BD_SLO_GUARANTEED_SHARE;
    return BD_SLO_OTHER;
}

/* Objectives only steer; one that cannot be read is passed over, never a fault. */
static void read_slos(struct bd_settings_reader *reader, json_t *facts,
                      struct bd_settings *settings)
{
    json_t *a = json_object_get(facts, "objectives"), *o;
    size_t i;
    if (json_array_size(a) > BD_MAX_SLOS)
        bd_settings_fault(reader, "objectives", "has too many entries");
    json_array_foreach(a, i, o)
    {
        if (settings->nslos == BD_MAX_SLOS)
            return;
        struct bd_slo *m = &settings->slos[settings->nslos++];
        const char *job_class = json_string_value(json_object_get(o, "class"));
        m->kind = slo_kind(json_string_value(json_object_get(o, "kind")));
        if (job_class)
            snprintf(m->job_class, sizeof m->job_class, "%s", job_class);
        m->within_s = json_number_value(json_object_get(o, "within_s"));
        m->share = json_number_value(json_object_get(o, "share"));
    }
}

static void read_zones(struct bd_settings_reader *reader, json_t *facts,
                       struct bd_settings *settings)
{
    json_t *a = read_list(reader, facts, "zones", BD_MAX_ZONES), *o;
    size_t i;
    if (reader->failed)
        return;
    json_array_foreach(a, i, o)
    {
        const char *z = json_string_value(o);
        if (!z || strlen(z) >= BD_NAME)
            bd_settings_fault(reader, "zones", "needs short texts");
        else
            strcpy(settings->zones[i], z);
        settings->nzones = (int)i + 1;
    }
}

/* A limit of the key-value store that a moment to come may lower, without notice: what is written
 * fits the smaller of the two from the start. One that is not named stays as it is. */
static double read_limit(struct bd_settings_reader *reader, json_t *state, const char *key,
                         double min)
{
    double now = read_number(reader, state, key, min);
    json_t *next = json_object_get(state, "next");
    if (!next || json_is_null(next))
        return now;
    if (!json_is_object(next))
        bd_settings_fault(reader, "next", "needs an object");
    json_t *v = json_object_get(next, key);
    return v && !json_is_null(v) ? fmin(now, read_number(reader, next, key, min)) : now;
}

static void read_facts(struct bd_settings_reader *reader, json_t *f, struct bd_settings *settings)
{
    settings->nodes = (int)read_number(reader, f, "count", 1);
    read_zones(reader, f, settings);
    read_teams(reader, f, settings);
    read_slos(reader, f, settings);
    json_t *w = read_object(reader, f, "workers");
    settings->heartbeat_interval = read_duration(reader, w, "report_s", 0.01);
    settings->lease = read_duration(reader, w, "lease_s", 0.1);
    settings->gang_wait = read_duration(reader, w, "gang_wait_s", 0);
    settings->gang_peer = read_duration(reader, w, "gang_peer_s", 0);
    settings->cancel = read_duration(reader, w, "cancel_s", 0.1);
    /* a lease renewed just before the cancellation is known would outlive it */
    if (bd_to_secs(settings->cancel) < bd_to_secs(settings->lease) + CANCEL_MARGIN_S)
        bd_settings_fault(reader, "cancel_s", "must be at least a second longer than lease_s");
    json_t *st = read_object(reader, f, "state");
    settings->kv_requests_per_s = read_limit(reader, st, "rps", 1);
    settings->kv_writes_per_s = read_limit(reader, st, "write_rps", 1);
    settings->kv_value_bytes_max = (size_t)(read_limit(reader, st, "value_kb", 1) * 1024);
    settings->kv_txn_ops_max = (size_t)read_limit(reader, st, "txn_ops", 2);
    json_t *c = read_object(reader, f, "cloud");
    settings->cloud_requests_per_s = read_number(reader, c, "rps", 0.01);
    settings->list_lag = read_duration(reader, c, "list_lag_s", 0);
    json_t *l = read_object(reader, f, "limits");
    settings->cpu = read_number(reader, l, "cpu", CPU_MIN);
    settings->ram_mb = read_number(reader, l, "ram_mb", RAM_MB_MIN);
    settings->max_sockets = (int)read_number(reader, l, "max_sockets", SOCKETS_MIN);
    settings->clock_error = bd_secs(read_number(reader, f, "clock_error_ms", 0) / 1000.0);
}

int bd_settings_load(struct bd_settings *s, const char *path, char *err, size_t errlen)
{
    struct bd_settings_reader reader = {path, err, errlen, false};
    json_error_t je;
    memset(s, 0, sizeof *s);
    s->headroom_share = HEADROOM_SHARE_DEFAULT;
    s->idle_boots = IDLE_BOOTS_DEFAULT;
    json_t *root = json_load_file(path, 0, &je);
    if (!root) {
        snprintf(err, errlen, "%s: line %d: %s", path, je.line, je.text);
        return -1;
    }
    if (!json_is_object(root))
        bd_settings_fault(&reader, "settings", "needs an object");
    read_text(&reader, root, "node_name", s->node);
    read_text(&reader, root, "location", s->zone);
    read_text(&reader, root, "front", s->api_addr);
    read_text(&reader, root, "mesh_addr", s->peer_addr);
    read_peers(&reader, root, s);
    json_t *ext = read_object(&reader, root, "external");
    read_text(&reader, ext, "cloud", s->cloud);
    read_text(&reader, ext, "state", s->kv_addr);
    json_t *f = read_object(&reader, root, "facts");
    if (!reader.failed)
        read_facts(&reader, f, s);
    json_decref(root);
    return reader.failed ? -1 : 0;
}
