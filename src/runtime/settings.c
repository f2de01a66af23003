#include "brambledoor/settings.h"
#include "base/timeutil.h"
#include "drain/drain.h"
#include <jansson.h>
#include <math.h>
#include <sexp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Less than this cannot serve: the program alone holds some 4 MB, and some 70 sockets are for other
 * controllers, the state service, the cloud and commands to workers. */
#define CPU_MIN 0.002
#define RAM_MB_MIN 8.0
#define SOCKETS_MIN 128.0
#define CANCEL_ROOM_S 1.0 /* between a worker's lease and the end of what was cancelled */

/* One reading of one file; the first fault found is kept. */
struct reader {
    const char *path;
    char *err;
    size_t errlen;
    bool bad;
};

static void fault(struct reader *r, const char *field, const char *what)
{
    if (r->bad)
        return;
    r->bad = true;
    snprintf(r->err, r->errlen, "%s: %s: %s", r->path, field, what);
}

static void text(struct reader *r, json_t *o, const char *key, char *out)
{
    json_t *v = json_object_get(o, key);
    const char *s = json_string_value(v);
    if (!s || !*s)
        fault(r, key, "needs a text");
    else if (strlen(s) >= BD_NAME)
        fault(r, key, "too long");
    else
        strcpy(out, s);
}

static double number(struct reader *r, json_t *o, const char *key, double min)
{
    json_t *v = json_object_get(o, key);
    double d = json_number_value(v);
    if (!json_is_number(v) || !isfinite(d))
        fault(r, key, "needs a number");
    else if (d < min)
        fault(r, key, "too small");
    return d;
}

static struct timespec span(struct reader *r, json_t *o, const char *key, double min)
{
    return bd_secs(number(r, o, key, min));
}

static json_t *object(struct reader *r, json_t *o, const char *key)
{
    json_t *v = json_object_get(o, key);
    if (!json_is_object(v))
        fault(r, key, "needs an object");
    return v;
}

static json_t *list(struct reader *r, json_t *o, const char *key, size_t max)
{
    json_t *v = json_object_get(o, key);
    if (!json_is_array(v))
        fault(r, key, "needs a list");
    else if (json_array_size(v) > max)
        fault(r, key, "has too many entries");
    return v;
}

static void peers(struct reader *r, json_t *root, struct bd_settings *settings)
{
    json_t *a = list(r, root, "others", BD_MAX_PEERS), *o;
    size_t i;
    if (r->bad)
        return;
    json_array_foreach(a, i, o)
    {
        text(r, o, "node_name", settings->peers[i].name);
        text(r, o, "location", settings->peers[i].zone);
        text(r, o, "addr", settings->peers[i].addr);
        settings->npeers = (int)i + 1;
    }
}

static void teams(struct reader *r, json_t *facts, struct bd_settings *settings)
{
    json_t *a = list(r, facts, "teams", BD_MAX_TEAMS), *o;
    size_t i;
    if (r->bad)
        return;
    json_array_foreach(a, i, o)
    {
        struct bd_team_quota *t = &settings->teams[i];
        text(r, o, "name", t->name);
        t->cpus = number(r, o, "cpus", 0);
        t->cpus_quota = number(r, o, "cpus_max", 0);
        t->gpus = number(r, o, "gpus", 0);
        t->gpus_quota = number(r, o, "gpus_max", 0);
        settings->nteams = (int)i + 1;
    }
}

static enum bd_slo_kind aim_kind(const char *name)
{
    if (name && strcmp(name, "wait") == 0)
        return BD_SLO_WAIT;
    if (name && strcmp(name, "finished") == 0)
        return BD_SLO_FINISHED;
    if (name && strcmp(name, "guarantee") == 0)
        return BD_SLO_GUARANTEED_SHARE;
    return BD_SLO_OTHER;
}

/* Aims only redirect; one that cannot be read is passed over, never a fault. */
static void slos(struct reader *r, json_t *facts, struct bd_settings *settings)
{
    json_t *a = json_object_get(facts, "objectives"), *o;
    size_t i;
    if (json_array_size(a) > BD_MAX_SLOS)
        fault(r, "objectives", "has too many entries");
    json_array_foreach(a, i, o)
    {
        if (settings->nslos == BD_MAX_SLOS)
            return;
        struct bd_slo *m = &settings->slos[settings->nslos++];
        const char *job_class = json_string_value(json_object_get(o, "class"));
        m->kind = aim_kind(json_string_value(json_object_get(o, "kind")));
        if (job_class)
            snprintf(m->job_class, sizeof m->job_class, "%s", job_class);
        m->within_s = json_number_value(json_object_get(o, "within_s"));
        m->share = json_number_value(json_object_get(o, "share"));
    }
}

static void zones(struct reader *r, json_t *facts, struct bd_settings *settings)
{
    json_t *a = list(r, facts, "zones", BD_MAX_ZONES), *o;
    size_t i;
    if (r->bad)
        return;
    json_array_foreach(a, i, o)
    {
        const char *z = json_string_value(o);
        if (!z || strlen(z) >= BD_NAME)
            fault(r, "zones", "needs short texts");
        else
            strcpy(settings->zones[i], z);
        settings->nzones = (int)i + 1;
    }
}

/* A limit of the state service that a moment to come may lower, without notice: what is written
 * fits the smaller of the two from the start. One that is not named stays as it is. */
static double limit(struct reader *r, json_t *state, const char *key, double min)
{
    double now = number(r, state, key, min);
    json_t *next = json_object_get(state, "next");
    if (!next || json_is_null(next))
        return now;
    if (!json_is_object(next))
        fault(r, "next", "needs an object");
    json_t *v = json_object_get(next, key);
    return v && !json_is_null(v) ? fmin(now, number(r, next, key, min)) : now;
}

static void facts_in(struct reader *r, json_t *f, struct bd_settings *settings)
{
    settings->nodes = (int)number(r, f, "count", 1);
    zones(r, f, settings);
    teams(r, f, settings);
    slos(r, f, settings);
    json_t *w = object(r, f, "workers");
    settings->heartbeat_interval = span(r, w, "report_s", 0.01);
    settings->lease = span(r, w, "lease_s", 0.1);
    settings->gang_wait = span(r, w, "gang_wait_s", 0);
    settings->gang_peer = span(r, w, "gang_peer_s", 0);
    settings->cancel = span(r, w, "cancel_s", 0.1);
    /* a lease renewed just before the cancellation is known would outlive it */
    if (bd_to_secs(settings->cancel) < bd_to_secs(settings->lease) + CANCEL_ROOM_S)
        fault(r, "cancel_s", "must be at least a second longer than lease_s");
    json_t *st = object(r, f, "state");
    settings->kv_requests_per_s = limit(r, st, "rps", 1);
    settings->kv_writes_per_s = limit(r, st, "write_rps", 1);
    settings->kv_value_bytes_max = (size_t)(limit(r, st, "value_kb", 1) * 1024);
    settings->kv_txn_ops_max = (size_t)limit(r, st, "txn_ops", 2);
    json_t *c = object(r, f, "cloud");
    settings->cloud_requests_per_s = number(r, c, "rps", 0.01);
    settings->list_lag = span(r, c, "list_lag_s", 0);
    json_t *l = object(r, f, "limits");
    settings->cpu = number(r, l, "cpu", CPU_MIN);
    settings->ram_mb = number(r, l, "ram_mb", RAM_MB_MIN);
    settings->max_sockets = (int)number(r, l, "max_sockets", SOCKETS_MIN);
    settings->clock_error = bd_secs(number(r, f, "clock_error_ms", 0) / 1000.0);
}

int bd_settings_load(struct bd_settings *s, const char *path, char *err, size_t errlen)
{
    struct reader r = {path, err, errlen, false};
    json_error_t je;
    memset(s, 0, sizeof *s);
    s->headroom_share = 1.6;
    s->idle_boots = 0.7;
    json_t *root = json_load_file(path, 0, &je);
    if (!root) {
        snprintf(err, errlen, "%s: line %d: %s", path, je.line, je.text);
        return -1;
    }
    if (!json_is_object(root))
        fault(&r, "settings", "needs an object");
    text(&r, root, "node_name", s->node);
    text(&r, root, "location", s->zone);
    text(&r, root, "front", s->api_addr);
    text(&r, root, "mesh_addr", s->peer_addr);
    peers(&r, root, s);
    json_t *ext = object(&r, root, "external");
    text(&r, ext, "cloud", s->cloud);
    text(&r, ext, "state", s->kv_addr);
    json_t *f = object(&r, root, "facts");
    if (!r.bad)
        facts_in(&r, f, s);
    json_decref(root);
    return r.bad ? -1 : 0;
}

static char *slurp(const char *path)
{
    FILE *f = fopen(path, "rb");
    if (!f)
        return NULL;
    char *buf = calloc(1, 65537);
    if (buf && fread(buf, 1, 65536, f) == 0 && ferror(f)) {
        free(buf);
        buf = NULL;
    }
    (void)fclose(f);
    return buf;
}

static void operator_field(struct reader *r, struct bd_settings *settings, const char *name,
                           const char *value)
{
    char *end = NULL;
    double d = strtod(value, &end);
    if (end == value || *end || !isfinite(d) || d < 0)
        fault(r, name, "needs a number of at least 0");
    else if (strcmp(name, "leader-ttl-s") == 0)
        settings->leader_ttl = bd_secs(d);
    else if (strcmp(name, "spare-share") == 0)
        settings->headroom_share = d;
    else if (strcmp(name, "idle-boots") == 0)
        settings->idle_boots = d;
    else
        fault(r, name, "unknown field");
}

/* (draining (name value) ...) */
static void draining(struct reader *r, struct bd_settings *settings, sexp_t *fields)
{
    struct bd_rules_fault bad = {"", ""};
    if (settings->draining) {
        fault(r, "draining", "is declared twice");
        return;
    }
    settings->draining = bd_drain_rules_read(settings, fields, &bad);
    if (!settings->draining)
        fault(r, bad.field, bad.what);
}

/* Each (name value) pair may stand at the top or inside one (brambledoor ...) list. */
static void operator_pairs(struct reader *r, struct bd_settings *settings, sexp_t *e)
{
    for (; e && !r->bad; e = e->next) {
        if (e->ty != SEXP_LIST || !e->list || e->list->ty != SEXP_VALUE) {
            fault(r, "entry", "needs the form (name value)");
            return;
        }
        sexp_t *v = e->list->next;
        if (strcmp(e->list->val, "brambledoor") == 0)
            operator_pairs(r, settings, v);
        else if (strcmp(e->list->val, "draining") == 0)
            draining(r, settings, v);
        else if (!v || v->ty != SEXP_VALUE || v->next)
            fault(r, e->list->val, "needs the form (name value)");
        else
            operator_field(r, settings, e->list->val, v->val);
    }
}

int bd_settings_operator(struct bd_settings *settings, const char *path, char *err, size_t errlen)
{
    struct reader r = {path, err, errlen, false};
    char *body = slurp(path);
    if (!body) {
        fault(&r, "file", "cannot be read");
        return -1;
    }
    size_t len = strlen(body);
    char *wrapped = malloc(len + 16);
    if (wrapped) {
        snprintf(wrapped, len + 16, "(%s\n)", body);
        sexp_t *e = parse_sexp(wrapped, strlen(wrapped));
        if (!e)
            fault(&r, "file", "is not a well-formed S-expression");
        else
            operator_pairs(&r, settings, e->list);
        if (e)
            destroy_sexp(e);
        sexp_cleanup();
    }
    free(wrapped);
    free(body);
    return r.bad ? -1 : 0;
}
