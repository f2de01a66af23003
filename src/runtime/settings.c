/* Reads the platform's settings file (JSON). Only this source file knows its field names. */
#include "brambledoor/settings.h"
#include "base/timeutil.h"
#include "base/units.h"
#include "runtime/settings_internal.h"
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* A controller cannot serve with less: the program alone takes about 4 MB, and peers, the key-value
 * store, the cloud and commands to workers need about 70 sockets. */
#define CPU_CORES_MIN 0.002
#define RAM_MB_MIN 8.0
#define SOCKETS_MIN 128.0
#define HEADROOM_SHARE_DEFAULT 1.6
#define IDLE_BOOTS_DEFAULT 0.7
/* Users give a request up after 5 s, workers after 4 s. */
#define REQUEST_DEADLINE_DEFAULT_S 10.0
#define ANSWER_DEADLINE_DEFAULT_S 10.0
#define CANCEL_MARGIN_S 1.0 /* cancel_s must exceed lease_s by at least this */
#define HEARTBEAT_INTERVAL_MIN_S 0.01
#define LEASE_MIN_S 0.1
#define CANCEL_MIN_S 0.1
#define KV_RATE_MIN 1.0
#define KV_VALUE_KB_MIN 1.0
#define KV_TXN_OPS_MIN 2.0 /* the commit sequence and one change */
#define CLOUD_RATE_MIN 0.01
#define MS_PER_S 1000.0

void bd_settings_report_error(struct bd_settings_reader *reader, const char *field,
                              const char *message)
{
    if (reader->has_failed)
        return;
    reader->has_failed = true;
    snprintf(reader->error, reader->error_size, "%s: %s: %s", reader->path, field, message);
}

/* ---- fields of an object: a missing or malformed one is an error ---- */

/* out holds BD_NAME_BYTES bytes. */
static void read_text(struct bd_settings_reader *reader, const json_t *object, const char *key,
                      char *out)
{
    const char *text = json_string_value(json_object_get(object, key));
    if (!text || !*text)
        bd_settings_report_error(reader, key, "must be a non-empty string");
    else if (strlen(text) >= BD_NAME_BYTES)
        bd_settings_report_error(reader, key, "is too long");
    else
        strcpy(out, text);
}

static double read_number(struct bd_settings_reader *reader, const json_t *object, const char *key,
                          double min)
{
    const json_t *value = json_object_get(object, key);
    double number = json_number_value(value);
    if (!json_is_number(value) || !isfinite(number))
        bd_settings_report_error(reader, key, "must be a number");
    else if (number < min)
        bd_settings_report_error(reader, key, "is too small");
    return number;
}

static struct timespec read_duration(struct bd_settings_reader *reader, const json_t *object,
                                     const char *key, double min_s)
{
    return bd_secs(read_number(reader, object, key, min_s));
}

/* The result is borrowed from the object. */
static json_t *read_object(struct bd_settings_reader *reader, const json_t *object, const char *key)
{
    json_t *value = json_object_get(object, key);
    if (!json_is_object(value))
        bd_settings_report_error(reader, key, "must be an object");
    return value;
}

/* The result is borrowed from the object. */
static json_t *read_list(struct bd_settings_reader *reader, const json_t *object, const char *key,
                         size_t max)
{
    json_t *value = json_object_get(object, key);
    if (!json_is_array(value))
        bd_settings_report_error(reader, key, "must be a list");
    else if (json_array_size(value) > max)
        bd_settings_report_error(reader, key, "has too many entries");
    return value;
}

/* ---- lists ---- */

static void read_peers(struct bd_settings_reader *reader, const json_t *root,
                       struct bd_settings *settings)
{
    json_t *peers = read_list(reader, root, "others", BD_PEERS_MAX);
    json_t *entry;
    size_t i;
    if (reader->has_failed)
        return;
    json_array_foreach(peers, i, entry)
    {
        struct bd_peer *peer = &settings->peers[i];
        read_text(reader, entry, "node_name", peer->name);
        read_text(reader, entry, "location", peer->zone);
        read_text(reader, entry, "addr", peer->addr);
        settings->npeers = (int)i + 1;
    }
}

static void read_teams(struct bd_settings_reader *reader, const json_t *facts,
                       struct bd_settings *settings)
{
    json_t *teams = read_list(reader, facts, "teams", BD_TEAMS_MAX);
    json_t *entry;
    size_t i;
    if (reader->has_failed)
        return;
    json_array_foreach(teams, i, entry)
    {
        struct bd_team_quota *team = &settings->teams[i];
        read_text(reader, entry, "name", team->name);
        team->cpus_guaranteed = read_number(reader, entry, "cpus", 0);
        team->cpus_quota = read_number(reader, entry, "cpus_max", 0);
        team->gpus_guaranteed = read_number(reader, entry, "gpus", 0);
        team->gpus_quota = read_number(reader, entry, "gpus_max", 0);
        settings->nteams = (int)i + 1;
    }
}

static enum bd_slo_kind parse_slo_kind(const char *name)
{
    if (name && strcmp(name, "wait") == 0)
        return BD_SLO_WAIT;
    if (name && strcmp(name, "finished") == 0)
        return BD_SLO_FINISHED;
    if (name && strcmp(name, "guarantee") == 0)
        return BD_SLO_GUARANTEED_SHARE;
    return BD_SLO_OTHER;
}

/* Objectives only guide the scheduler, so their fields are optional. */
static void read_slos(struct bd_settings_reader *reader, const json_t *facts,
                      struct bd_settings *settings)
{
    json_t *objectives = json_object_get(facts, "objectives");
    json_t *entry;
    size_t i;
    if (json_array_size(objectives) > BD_SLOS_MAX)
        bd_settings_report_error(reader, "objectives", "has too many entries");
    json_array_foreach(objectives, i, entry)
    {
        if (settings->nslos == BD_SLOS_MAX)
            return;
        struct bd_slo *slo = &settings->slos[settings->nslos++];
        const char *job_class = json_string_value(json_object_get(entry, "class"));
        slo->kind = parse_slo_kind(json_string_value(json_object_get(entry, "kind")));
        if (job_class)
            snprintf(slo->job_class, sizeof slo->job_class, "%s", job_class);
        slo->within_s = json_number_value(json_object_get(entry, "within_s"));
        slo->share = json_number_value(json_object_get(entry, "share"));
    }
}

static void read_zones(struct bd_settings_reader *reader, const json_t *facts,
                       struct bd_settings *settings)
{
    json_t *zones = read_list(reader, facts, "zones", BD_ZONES_MAX);
    json_t *entry;
    size_t i;
    if (reader->has_failed)
        return;
    json_array_foreach(zones, i, entry)
    {
        const char *zone = json_string_value(entry);
        if (!zone || strlen(zone) >= BD_NAME_BYTES)
            bd_settings_report_error(reader, "zones", "must contain only short strings");
        else
            strcpy(settings->zones[i], zone);
        settings->nzones = (int)i + 1;
    }
}

/* ---- facts ---- */

static void read_worker_times(struct bd_settings_reader *reader, const json_t *workers,
                              struct bd_settings *settings)
{
    settings->heartbeat_interval =
        read_duration(reader, workers, "report_s", HEARTBEAT_INTERVAL_MIN_S);
    settings->worker_lease = read_duration(reader, workers, "lease_s", LEASE_MIN_S);
    settings->gang_start_timeout = read_duration(reader, workers, "gang_wait_s", 0);
    settings->gang_peer_timeout = read_duration(reader, workers, "gang_peer_s", 0);
    settings->cancellation_limit = read_duration(reader, workers, "cancel_s", CANCEL_MIN_S);
    /* a lease that was renewed just before the cancellation must expire within cancel_s */
    if (bd_to_secs(settings->cancellation_limit) <
        bd_to_secs(settings->worker_lease) + CANCEL_MARGIN_S)
        bd_settings_report_error(reader, "cancel_s",
                                 "must be at least a second longer than lease_s");
}

/* Reads a limit of the key-value store. The object `next` may announce another value, to which the
 * store switches without notice: the smaller of the two applies from the start. */
static double read_kv_limit(struct bd_settings_reader *reader, const json_t *state, const char *key,
                            double min)
{
    double limit = read_number(reader, state, key, min);
    const json_t *next = json_object_get(state, "next");
    if (!next || json_is_null(next))
        return limit;
    if (!json_is_object(next))
        bd_settings_report_error(reader, "next", "must be an object");
    const json_t *next_limit = json_object_get(next, key);
    if (!next_limit || json_is_null(next_limit))
        return limit;
    return fmin(limit, read_number(reader, next, key, min));
}

static void read_kv_limits(struct bd_settings_reader *reader, const json_t *state,
                           struct bd_settings *settings)
{
    settings->kv_requests_per_s = read_kv_limit(reader, state, "rps", KV_RATE_MIN);
    settings->kv_writes_per_s = read_kv_limit(reader, state, "write_rps", KV_RATE_MIN);
    double value_kb = read_kv_limit(reader, state, "value_kb", KV_VALUE_KB_MIN);
    settings->kv_value_bytes_max = (size_t)(value_kb * BD_BYTES_PER_KB);
    settings->kv_txn_ops_max = (size_t)read_kv_limit(reader, state, "txn_ops", KV_TXN_OPS_MIN);
}

/* Reads the resources that this process may use. */
static void read_process_limits(struct bd_settings_reader *reader, const json_t *limits,
                                struct bd_settings *settings)
{
    settings->cpu_cores = read_number(reader, limits, "cpu", CPU_CORES_MIN);
    settings->ram_mb = read_number(reader, limits, "ram_mb", RAM_MB_MIN);
    settings->max_sockets = (int)read_number(reader, limits, "max_sockets", SOCKETS_MIN);
}

static void read_facts(struct bd_settings_reader *reader, const json_t *facts,
                       struct bd_settings *settings)
{
    settings->ncontrollers = (int)read_number(reader, facts, "count", 1);
    read_zones(reader, facts, settings);
    read_teams(reader, facts, settings);
    read_slos(reader, facts, settings);
    read_worker_times(reader, read_object(reader, facts, "workers"), settings);
    read_kv_limits(reader, read_object(reader, facts, "state"), settings);
    const json_t *cloud = read_object(reader, facts, "cloud");
    settings->cloud_requests_per_s = read_number(reader, cloud, "rps", CLOUD_RATE_MIN);
    settings->inventory_lag = read_duration(reader, cloud, "list_lag_s", 0);
    read_process_limits(reader, read_object(reader, facts, "limits"), settings);
    settings->clock_error = bd_secs(read_number(reader, facts, "clock_error_ms", 0) / MS_PER_S);
}

int bd_settings_load(struct bd_settings *settings, const char *path, char *error, size_t error_size)
{
    struct bd_settings_reader reader = {path, error, error_size, false};
    json_error_t json_error;
    memset(settings, 0, sizeof *settings);
    settings->headroom_share = HEADROOM_SHARE_DEFAULT;
    settings->idle_boot_times = IDLE_BOOTS_DEFAULT;
    settings->request_deadline = bd_secs(REQUEST_DEADLINE_DEFAULT_S);
    settings->answer_deadline = bd_secs(ANSWER_DEADLINE_DEFAULT_S);
    json_t *root = json_load_file(path, 0, &json_error);
    if (!root) {
        snprintf(error, error_size, "%s: line %d: %s", path, json_error.line, json_error.text);
        return -1;
    }
    if (!json_is_object(root))
        bd_settings_report_error(&reader, "settings", "must be an object");
    read_text(&reader, root, "node_name", settings->node);
    read_text(&reader, root, "location", settings->zone);
    read_text(&reader, root, "front", settings->api_addr);
    read_text(&reader, root, "mesh_addr", settings->peer_addr);
    read_peers(&reader, root, settings);
    const json_t *external = read_object(&reader, root, "external");
    read_text(&reader, external, "cloud", settings->cloud_addr);
    read_text(&reader, external, "state", settings->kv_addr);
    const json_t *facts = read_object(&reader, root, "facts");
    if (!reader.has_failed)
        read_facts(&reader, facts, settings);
    json_decref(root);
    return reader.has_failed ? -1 : 0;
}
