/* Plays a scenario, a small text file, against the core. One line, one step:
 *
 *   set lease=10 cancel=35 report=2 ttl=3 team=a:0:0:8:16 zones=a,b aim=k:150:0.9      settings,
 * before anything else type small cpus=8 gpus=0 mem=32 boot=10 zones=a,b at 12.5 the time, in
 * seconds job job-1 mark=5 tasks=2 cpus=2 ... [state=cancelled] [needs=job-2,job-3] [parts=HASH:N]
 * a record change seen by the replica gain 1 [receipt=job-1/0:03] [intent=job-1:@1.1:vm-1:0,1]
 * renew | lose | looked [fail] | tick set zone=a peer=node-1:b; peer node-1 term=0 state=1 deaf=0
 * hears=1 age=0 a status frame of another controller leader node-1 7 (or - 0) [away=1] who holds
 * the lease, by a fresh refresh delegates [p/node-1:mark:vm-1,vm-2]                 the leader's
 * look at the delegates' records watch 28                                           as `at`, with
 * such a refresh every 2 s delegatecommitted STATUS [unknown]                   the fate of our own
 * delegate's record listed vm-1:small:a[:running|booting|failed] ...   a list of the cloud report
 * vm-1 small a session=1 seq=1 token=1 [notice=5] [job-1/0:@1.1:running ...] forwarded node-1 5
 * vm-1 small a session=1 ... a report that another controller passes on answered 1 200 {text} the
 * answer to a report that we passed on did vm-1 token=1 status=200 ...                     answer
 * to a direct command, as report committed ok|lost|large|failed KEY... submit {json} | get job-1 |
 * cancel job-1 | usercommitted STATUS seed N | up 0|1                                    where
 * numbers begin; whether /up says yes rented N vm-1 vm-2 (status 200), rented refused, returned
 * vm-1 expect KIND TEXT...   an effect of the kind that holds all the texts; it is taken off none
 * KIND [TEXT...] no such effect is waiting clear                 forget the effects that wait task
 * job-1/0 STATE [vm-1]     wait plan launch live unknown done team a cpus=2 gpus=0
 *
 *   draining (...)              switches draining on; the fields of the operators' entry, before
 *                               anything else
 *   drain NAME retire|replace [state=paused] [mark=N] vm-1 vm-2 ...   a drain's record appears, or
 *                               changes; its machines' records come with it the first time
 *   stage NAME vm-1 STAGE | drainrecord NAME JSON   the records as a leader, or who knows, left
 * them drains                      the leader looks at the drains' records entry NAME vm-1 STAGE
 * [wait=WORDS-WITH-DASHES] [team=a] [by=vm-9]   how far its machine is ledger TEAM[:CLASS] down=N
 * up=N                 what the ledger counts running vm-1 [spare=1]      the machine reports that
 * all it holds is running, until now asks {json} | means {json} vm-1:small:a ...     an
 * administrator's request: `expect`-like words of the refusal come after `=>`; none: it is taken
 *   passes 12.5                 time passes in half seconds: renewals, ticks, commits applied
 *
 *   heard job-1           another controller says that the job's cancellation was confirmed
 *   limits BYTES CHANGES  the largest value and transaction are these now
 *
 * @T.N is the N-th attempt of term T. LOG_LEVEL shows the core's log. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "model/task.h"
#include "numbers.h"
#include "scenario_play.h"
#include "small.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void play_fail(struct play *p, const char *what)
{
    fprintf(stderr, "%s:%d: %s: %s\n", p->path, p->line, what, p->raw);
    p->faults++;
}

const char *play_arg(struct play *p, const char *key)
{
    size_t k = strlen(key);
    for (int i = 1; i < p->n; i++)
        if (strncmp(p->w[i], key, k) == 0 && p->w[i][k] == '=')
            return p->w[i] + k + 1;
    return NULL;
}

double play_num(struct play *p, const char *key, double otherwise)
{
    const char *s = play_arg(p, key);
    return s ? strtod(s, NULL) : otherwise;
}

static uint64_t attempt(const char *s)
{
    if (*s != '@')
        return strtoull(s, NULL, 10);
    char *end;
    uint64_t term = strtoull(s + 1, &end, 10);
    return (term << 20) + (*end ? strtoull(end + 1, NULL, 10) : 0);
}

/* "@1.2" inside an expected text becomes the number itself */
static void expand(const char *s, char *out, size_t cap)
{
    const char *at = strchr(s, '@');
    if (!at || at[1] < '0' || at[1] > '9') {
        snprintf(out, cap, "%s", s);
        return;
    }
    size_t n = strspn(at + 1, "0123456789.");
    char revision[40];
    snprintf(revision, sizeof revision, "%.*s", (int)(n + 1), at);
    snprintf(out, cap, "%.*s%llu%s", (int)(at - s), s, (unsigned long long)attempt(revision),
             at + 1 + n);
}

static void start(struct play *p)
{
    if (p->c)
        return;
    if (bd_is_zero(p->settings.leader_ttl))
        p->settings.leader_ttl = bd_secs(3);
    p->c = bd_core_new(&p->settings, &p->log);
    if (!p->c)
        abort();
    bd_core_set_clock(p->c, bd_secs(100), 1000);
}

static void collect(struct play *p)
{
    struct bd_effect **tail = &p->left;
    while (*tail)
        tail = &(*tail)->next;
    *tail = bd_effects_take(p->c);
    for (const struct bd_effect *e = *tail; p->digest && e; e = e->next)
        behaviour_digest_effect(p->digest, bd_to_secs(p->c->now), 0, e, 0);
}

/* NAME:ZONE */
static void add_peer(struct play *p, const char *text)
{
    struct bd_peer *peer = &p->settings.peers[p->settings.npeers++];
    (void)sscanf(text, "%63[^:]:%63s", peer->name, peer->zone);
}

/* CLASS:SECONDS:SHARE */
static void add_slo(struct play *p, const char *text)
{
    struct bd_slo *slo = &p->settings.slos[p->settings.nslos++];
    double values[2] = {0};
    if (numbers_after_name(text, slo->job_class, sizeof slo->job_class, values, 2) != 2)
        play_fail(p, "aim");
    slo->within_s = values[0];
    slo->share = values[1];
    slo->kind = BD_SLO_WAIT;
}

/* NAME:CPUS:CPUS_QUOTA:GPUS:GPUS_QUOTA */
static void add_team(struct play *p, const char *text)
{
    struct bd_team_quota *team = &p->settings.teams[p->settings.nteams++];
    double values[4] = {0};
    if (numbers_after_name(text, team->name, sizeof team->name, values, 4) != 4)
        play_fail(p, "team");
    team->cpus = values[0];
    team->cpus_quota = values[1];
    team->gpus = values[2];
    team->gpus_quota = values[3];
}

static void cmd_set(struct play *p)
{
    p->settings.lease = bd_secs(play_num(p, "lease", bd_to_secs(p->settings.lease)));
    p->settings.cancel = bd_secs(play_num(p, "cancel", bd_to_secs(p->settings.cancel)));
    p->settings.heartbeat_interval =
        bd_secs(play_num(p, "report", bd_to_secs(p->settings.heartbeat_interval)));
    p->settings.leader_ttl = bd_secs(play_num(p, "ttl", bd_to_secs(p->settings.leader_ttl)));
    p->settings.kv_txn_ops_max = (size_t)play_num(p, "ops", (double)p->settings.kv_txn_ops_max);
    p->settings.kv_value_bytes_max =
        (size_t)play_num(p, "value", (double)p->settings.kv_value_bytes_max);
    p->settings.kv_writes_per_s = play_num(p, "writes", p->settings.kv_writes_per_s);
    char zones[128];
    snprintf(zones, sizeof zones, "%s", play_arg(p, "zones") ? play_arg(p, "zones") : "");
    for (char *s = NULL, *z = strtok_r(zones, ",", &s); z; z = strtok_r(NULL, ",", &s))
        snprintf(p->settings.zones[p->settings.nzones++], BD_NAME, "%s", z);
    if (play_arg(p, "zone"))
        snprintf(p->settings.zone, sizeof p->settings.zone, "%s", play_arg(p, "zone"));
    if (play_arg(p, "peer"))
        add_peer(p, play_arg(p, "peer"));
    if (play_arg(p, "aim"))
        add_slo(p, play_arg(p, "aim"));
    if (play_arg(p, "team"))
        add_team(p, play_arg(p, "team"));
}

static void cmd_type(struct play *p)
{
    struct bd_type_text t = {0};
    snprintf(t.label, sizeof t.label, "%s", p->w[1]);
    t.cpus = play_num(p, "cpus", 8);
    t.gpus = play_num(p, "gpus", 0);
    t.mem = play_num(p, "mem", 64);
    t.price = play_num(p, "price", 1);
    t.spot_price = play_num(p, "spot", t.price / 3);
    t.boot = play_num(p, "boot", 10);
    t.fetch = 1;
    t.cache_gb = 50;
    char zones[128];
    snprintf(zones, sizeof zones, "%s", play_arg(p, "zones") ? play_arg(p, "zones") : "a,b");
    for (char *s = NULL, *z = strtok_r(zones, ",", &s); z; z = strtok_r(NULL, ",", &s))
        snprintf(t.zones[t.nzones++], BD_LABEL, "%s", z);
    bd_inventory_types(p->c, &t, 1);
}

bool play_yes(struct play *p, const char *key)
{
    return play_num(p, key, 0) != 0;
}

static void spec(struct play *p, struct bd_spec_text *s)
{
    memset(s, 0, sizeof *s);
    snprintf(s->job_class, sizeof s->job_class, "%s",
             play_arg(p, "class") ? play_arg(p, "class") : "k");
    snprintf(s->team, sizeof s->team, "%s", play_arg(p, "team") ? play_arg(p, "team") : "a");
    snprintf(s->image, sizeof s->image, "%s", play_arg(p, "image") ? play_arg(p, "image") : "img");
    s->image_gb = play_num(p, "gb", 0);
    if (play_arg(p, "zone"))
        snprintf(s->zone, sizeof s->zone, "%s", play_arg(p, "zone"));
    s->ntypes = -1;
    const char *shape = play_arg(p, "shape");
    if (shape)
        s->kind = *shape == 'g' ? BD_JOB_GANG : *shape == 's' ? BD_JOB_SERVICE : BD_JOB_ARRAY;
    s->priority = (enum bd_priority)play_num(p, "rank", BD_PRIORITY_STANDARD);
    s->tasks = (uint32_t)play_num(p, "tasks", 1);
    s->cpus = play_num(p, "cpus", 1);
    s->gpus = play_num(p, "gpus", 0);
    s->mem = play_num(p, "mem", 1);
    s->checkpoint_interval_s = play_num(p, "checkpoint", 0);
    s->checkpoint_save_s = play_num(p, "save", 0);
    s->deadline_s = play_num(p, "due", -1);
    s->estimate = play_num(p, "guess", 0);
    s->spread_zones = play_yes(p, "scatter");
    s->same_zone = play_yes(p, "together");
    s->spot = play_yes(p, "spot");
}

static json_t *names_in(const char *list)
{
    char copy[4096];
    json_t *a = json_array();
    snprintf(copy, sizeof copy, "%s", list);
    for (char *s = NULL, *v = strtok_r(copy, ",", &s); v; v = strtok_r(NULL, ",", &s))
        json_array_append_new(a, json_string(v));
    return a;
}

/* part job-1/HASH/0 job-7,job-8: a part of what a job waits for */
static void cmd_part(struct play *p)
{
    char key[BD_LABEL + 8];
    snprintf(key, sizeof key, "j/%s", p->w[1]);
    json_t *v = bd_wire_parents_part(names_in(p->n > 2 ? p->w[2] : ""));
    struct bd_change ch = {key, v, (uint64_t)play_num(p, "mark", 1)};
    bd_replica_apply(p->c, &ch);
    json_decref(v);
}

/* record job-1 MARK {...}: as it stands in the state service */
static void cmd_record(struct play *p)
{
    char key[BD_LABEL];
    const char *text = strchr(p->raw, '{');
    json_t *v = text ? json_loads(text, 0, NULL) : NULL;
    if (!v)
        play_fail(p, "not JSON");
    snprintf(key, sizeof key, "j/%s", p->w[1]);
    struct bd_change ch = {key, v, strtoull(p->w[2], NULL, 10)};
    bd_replica_apply(p->c, &ch);
    json_decref(v);
}

/* state job-1 live|done|cancelled [rank=N] [ready=0|1]: what the core holds of a job */
static void cmd_state(struct play *p)
{
    static const char *const state_names[] = {"live", "done", "cancelled"};
    struct bd_job *j = NULL;
    HASH_FIND_STR(p->c->jobs, p->w[1], j);
    if (!j) {
        play_fail(p, "no such job");
        return;
    }
    bd_dag_update_priorities(p->c);
    if (strcmp(state_names[j->state], p->w[2]) != 0)
        play_fail(p, state_names[j->state]);
    if (play_num(p, "rank", j->priority) != (double)j->priority)
        play_fail(p, "another rank");
    if (play_num(p, "ready", j->nopen_parents == 0) != (double)(j->nopen_parents == 0))
        play_fail(p, "its readiness is otherwise");
}

static void cmd_job(struct play *p)
{
    struct bd_record r = {.state = BD_JOB_ACTIVE, .at = play_num(p, "mark", 1), .has_spec = true};
    const char *state = play_arg(p, "state");
    char key[BD_LABEL];
    spec(p, &r.spec);
    r.tasks = r.spec.tasks;
    if (state)
        r.state = strcmp(state, "done") == 0 ? BD_JOB_DONE : BD_JOB_CANCELLED;
    snprintf(key, sizeof key, "j/%s", p->w[1]);
    json_t *names = play_arg(p, "needs") ? names_in(play_arg(p, "needs")) : NULL;
    r.parents.names = names;
    double parts = 0;
    if (play_arg(p, "parts") &&
        numbers_after_name(play_arg(p, "parts"), r.parents.of, sizeof r.parents.of, &parts, 1) != 1)
        play_fail(p, "parts");
    r.parents.parts = (uint32_t)parts;
    r.end = play_num(p, "end", 0);
    json_t *v = bd_wire_record(&r);
    struct bd_change ch = {key, v, (uint64_t)play_num(p, "mark", 1)};
    bd_replica_apply(p->c, &ch);
    json_decref(v);
    json_decref(names);
}

static void cmd_gain(struct play *p)
{
    struct bd_acquisition g = {0};
    g.term = strtoull(p->w[1], NULL, 10);
    g.grant = 7;
    g.nonce = "n";
    g.renewed = p->c->now;
    g.receipts = json_array();
    g.intents = json_array();
    for (int i = 2; i < p->n; i++) {
        char a[64], b[64], m[64], t[256];
        if (sscanf(p->w[i], "receipt=%63[^:]:%63s", a, b) == 2) {
            char key[BD_LABEL + 8];
            snprintf(key, sizeof key, "r/%s", a);
            json_array_append_new(
                g.receipts, json_pack("{s:s,s:{s:s},s:i}", "k", key, "value", "b", b, "mark", 1));
        } else if (sscanf(p->w[i], "intent=%63[^:]:%63[^:]:%63[^:]:%255s", a, b, m, t) == 4) {
            json_t *tasks = json_array();
            for (char *s = NULL, *v = strtok_r(t, ",", &s); v; v = strtok_r(NULL, ",", &s))
                json_array_append_new(tasks, json_integer(number_of(v)));
            char key[32];
            snprintf(key, sizeof key, "i/old-%d", i);
            json_t *e = json_pack("[[s,I,s,o]]", a, (json_int_t)attempt(b), m, tasks);
            json_array_append_new(
                g.intents, json_pack("{s:s,s:{s:o},s:i}", "k", key, "value", "e", e, "mark", 1));
        } else {
            play_fail(p, "gain");
        }
    }
    bd_core_leadership_acquired(p->c, &g);
    json_decref(g.receipts);
    json_decref(g.intents);
}

static enum bd_execution_state sub_of(const char *s, enum bd_exit_reason *why)
{
    static const char *const subs[] = {"pulling", "gathering", "running", "saving"};
    static const char *const whys[] = {"",      "done",    "stopped", "peers",  "alone",
                                       "error", "no_room", "busy",    "unknown"};
    *why = BD_EXIT_NONE;
    for (int i = 0; i < 4; i++)
        if (strcmp(s, subs[i]) == 0)
            return (enum bd_execution_state)i;
    for (int i = 1; i < 9; i++)
        if (strcmp(s, whys[i]) == 0)
            *why = (enum bd_exit_reason)i;
    return BD_EXECUTION_EXITED;
}

static void fill_report(struct play *p, struct bd_heartbeat *r, struct bd_reported_task *tasks)
{
    memset(r, 0, sizeof *r);
    snprintf(r->machine, sizeof r->machine, "%s", p->w[1]);
    snprintf(r->addr, sizeof r->addr, "addr-%s", p->w[1]);
    r->incarnation = (uint64_t)play_num(p, "session", 1);
    r->seq = (uint64_t)play_num(p, "seq", 1);
    r->fencing_token = (uint64_t)play_num(p, "token", 0);
    r->notice = play_num(p, "notice", -1);
    r->spot = play_yes(p, "spot");
    r->tasks = tasks;
    for (int i = 2; i < p->n; i++) {
        char name[64], tryn[64], state[64];
        if (sscanf(p->w[i], "%63[^:]:%63[^:]:%63s", name, tryn, state) != 3)
            continue;
        struct bd_reported_task *t = &tasks[r->n];
        if (!bd_wire_task_name(name, t->job, &t->task)) {
            play_fail(p, "task name");
            return;
        }
        t->attempt = attempt(tryn);
        t->execution = sub_of(state, &t->exit_reason);
        r->n++;
    }
}

static void cmd_report(struct play *p)
{
    struct bd_heartbeat r;
    struct bd_reported_task tasks[WORDS];
    memset(tasks, 0, sizeof tasks);
    fill_report(p, &r, tasks);
    snprintf(r.type, sizeof r.type, "%s", p->w[2]);
    snprintf(r.zone, sizeof r.zone, "%s", p->w[3]);
    bd_worker_heartbeat_received(p->c, NULL, &r, "{}", 2);
}

static void cmd_forwarded(struct play *p)
{
    struct bd_heartbeat r;
    struct bd_reported_task tasks[WORDS];
    char *peer = p->w[1];
    uint64_t id = strtoull(p->w[2], NULL, 10);
    memset(tasks, 0, sizeof tasks);
    for (int i = 1; i + 2 < p->n; i++)
        p->w[i] = p->w[i + 2];
    p->n -= 2;
    fill_report(p, &r, tasks);
    snprintf(r.type, sizeof r.type, "%s", p->w[2]);
    snprintf(r.zone, sizeof r.zone, "%s", p->w[3]);
    bd_worker_heartbeat_forwarded(p->c, peer, id, &r, "{}", 2);
}

static void cmd_answered(struct play *p)
{
    bd_forward_reply_received(p->c, strtoull(p->w[1], NULL, 10), number_of(p->w[2]),
                              p->n > 3 ? p->w[3] : "", p->n > 3 ? strlen(p->w[3]) : 0);
}

static void cmd_did(struct play *p)
{
    struct bd_heartbeat r;
    struct bd_reported_task tasks[WORDS];
    struct bd_machine *m = NULL;
    memset(tasks, 0, sizeof tasks);
    HASH_FIND_STR(p->c->machines, p->w[1], m);
    if (!m) {
        play_fail(p, "no such machine");
        return;
    }
    fill_report(p, &r, tasks);
    snprintf(r.type, sizeof r.type, "%s", m->type < 0 ? "?" : p->c->types[m->type].label);
    snprintf(r.zone, sizeof r.zone, "%s", m->zone < 0 ? "?" : p->c->zones[m->zone]);
    long status = (long)play_num(p, "status", 200);
    bd_worker_direct_command_completed(p->c, m->index, (uint64_t)play_num(p, "token", 0),
                                       play_num(p, "launch", 1) != 0, status, status ? &r : NULL);
}

static void cmd_listed(struct play *p)
{
    struct bd_cloud_machine l[WORDS];
    memset(l, 0, sizeof l);
    size_t n = 0;
    for (int i = 1; i < p->n; i++, n++) {
        char state[32] = "running";
        if (sscanf(p->w[i], "%63[^:]:%63[^:]:%63[^:]:%31s", l[n].id, l[n].type, l[n].zone, state) <
            3)
            play_fail(p, "listed");
        l[n].state = *state == 'r'   ? BD_MACHINE_UP
                     : *state == 'f' ? BD_MACHINE_FAILED
                                     : BD_MACHINE_BOOTING;
    }
    bd_inventory_machines(p->c, l, n, p->c->now);
}

static void cmd_peer(struct play *p)
{
    uint8_t flags = play_num(p, "state", 1) != 0 ? BD_PEER_KV_REACHABLE : 0;
    flags |= play_num(p, "hears", 1) != 0 ? BD_PEER_HEARS_LEADER : 0;
    flags |= play_num(p, "deaf", 0) != 0 ? BD_PEER_INBOUND_PARTITION : 0;
    flags |= play_yes(p, "cut") ? BD_PEER_KV_LOST : 0;
    flags |= play_num(p, "deps", 1) != 0 ? BD_PEER_KNOWS_DAG : 0;
    flags |= play_num(p, "drains", 1) != 0 ? BD_PEER_KNOWS_DRAINS : 0;
    bd_peer_status_received(p->c, p->w[1], (uint64_t)play_num(p, "term", 0), flags,
                            play_num(p, "age", 0), p->c->wall - play_num(p, "late", 0), p->c->now);
}

static void cmd_heard(struct play *p)
{
    bd_job_cancellation_received(p->c, p->w[1]);
}

static void cmd_limits(struct play *p)
{
    if (p->c->kv_limits.kv_value_bytes_max != strtoull(p->w[1], NULL, 10) ||
        p->c->kv_limits.kv_txn_ops_max != strtoull(p->w[2], NULL, 10)) {
        fprintf(stderr, "values of %zu bytes, %zu changes\n", p->c->kv_limits.kv_value_bytes_max,
                p->c->kv_limits.kv_txn_ops_max);
        play_fail(p, "limits");
    }
}

static void cmd_leader(struct play *p)
{
    const char *name = strcmp(p->w[1], "-") == 0 ? "" : p->w[1];
    bd_core_leader_observed(p->c, name, strtoull(p->w[2], NULL, 10), p->c->now,
                            play_yes(p, "away"));
}

static void cmd_delegates(struct play *p)
{
    json_t *pairs = json_array();
    for (int i = 1; i < p->n; i++) {
        char key[64], names[256] = "";
        double revision = 0;
        if (numbers_after_name(p->w[i], key, sizeof key, &revision, 1) != 1 ||
            sscanf(p->w[i], "%*[^:]:%*[^:]:%255s", names) != 1)
            play_fail(p, "delegates");
        json_t *m = json_array();
        for (char *s = NULL, *v = strtok_r(names, ",", &s); v; v = strtok_r(NULL, ",", &s))
            json_array_append_new(m, json_string(v));
        json_array_append_new(pairs, json_pack("{s:s,s:{s:i,s:o},s:i}", "k", key, "value", "t", 1,
                                               "m", m, "mark", (int)revision));
    }
    bd_delegate_records_read(p->c, pairs, p->c->now);
    json_decref(pairs);
}

/* many finished jobs, job-1000000 and on, long ago */
static void cmd_finals(struct play *p)
{
    int n = number_of(p->w[1]);
    for (int i = 0; i < n; i++) {
        char key[BD_LABEL];
        snprintf(key, sizeof key, "j/job-%d", 1000000 + i);
        struct bd_record r = {.state = BD_JOB_DONE, .tasks = 1, .at = 1, .end = 2};
        json_t *v = bd_wire_record(&r);
        struct bd_change ch = {key, v, (uint64_t)(i + 1)};
        bd_replica_apply(p->c, &ch);
        json_decref(v);
    }
    bd_replica_evict(p->c);
}

static void cmd_lookedup(struct play *p)
{
    json_t *v = NULL;
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/%s", p->w[1]);
    long status = strtol(p->w[3], NULL, 10);
    struct bd_record r = {.state = BD_JOB_DONE, .tasks = 1, .at = 1};
    if (p->n > 4 && strcmp(p->w[4], "cancelled") == 0) {
        spec(p, &r.spec);
        r.has_spec = true;
        r.state = BD_JOB_CANCELLED;
    }
    struct bd_change ch = {key, v = bd_wire_record(&r), 5};
    bd_replica_lookup_completed(p->c, NULL, p->w[1], number_of(p->w[2]), status,
                                status == 200 ? &ch : NULL);
    json_decref(v);
}

/* time passes until the first argument; the leader looks every two seconds and sees when the other
 * controllers were last in touch */
static void cmd_liveness(struct play *p)
{
    double to = strtod(p->w[1], NULL), at = bd_to_secs(p->c->now) - 100;
    json_t *pairs = json_array();
    for (int i = 2; i < p->n; i++) {
        char node[64], key[BD_LABEL + 8];
        double seen = 0;
        if (numbers_after_name(p->w[i], node, sizeof node, &seen, 1) != 1)
            play_fail(p, "touched");
        snprintf(key, sizeof key, "p/%s/at", node);
        json_array_append_new(
            pairs, json_pack("{s:s,s:{s:f},s:i}", "k", key, "value", "at", 1000 + seen, "mark", 1));
    }
    for (bool more = true; more;) {
        at = at + 2 < to ? at + 2 : to;
        more = at < to;
        bd_core_set_clock(p->c, bd_secs(100 + at), 1000 + at);
        bd_leadership_renewed(p->c, 7, p->c->now);
        bd_delegate_records_read(p->c, pairs, p->c->now);
        bd_core_tick(p->c);
    }
    json_decref(pairs);
}

/* time passes with a refresh every two seconds that shows no delegate */
static void cmd_watch(struct play *p)
{
    double to = strtod(p->w[1], NULL), at = bd_to_secs(p->c->now) - 100;
    json_t *none = json_array();
    at += 2;
    while (at < to) {
        bd_core_set_clock(p->c, bd_secs(100 + at), 1000 + at);
        bd_delegate_records_read(p->c, none, p->c->now);
        at += 2;
    }
    bd_core_set_clock(p->c, bd_secs(100 + to), 1000 + to);
    bd_delegate_records_read(p->c, none, p->c->now);
    json_decref(none);
}

static void cmd_delegatecommitted(struct play *p)
{
    bool known = p->n < 3;
    p->store_revision = p->store_revision < 1000 ? 1000 : p->store_revision + 1;
    bd_delegate_txn_completed(p->c, strtol(p->w[1], NULL, 10), p->store_revision, p->c->now, known);
}

static void cmd_committed(struct play *p)
{
    json_t *failed = json_array();
    for (int i = 2; i < p->n; i++)
        json_array_append_new(failed, json_string(p->w[i]));
    enum bd_txn_outcome outcome = strcmp(p->w[1], "ok") == 0      ? BD_TXN_COMMITTED
                                  : strcmp(p->w[1], "lost") == 0  ? BD_TXN_DEPOSED
                                  : strcmp(p->w[1], "large") == 0 ? BD_TXN_REJECTED
                                                                  : BD_TXN_CONFLICT;
    if (!p->c->lead.commit)
        play_fail(p, "nothing is being committed");
    p->store_revision = p->store_revision < 1000 ? 1000 : p->store_revision + 1;
    bd_leader_txn_completed(p->c, outcome, p->store_revision, failed);
    json_decref(failed);
}

static void cmd_usercommitted(struct play *p)
{
    struct bd_effect **at = &p->left;
    while (*at && (*at)->kind != BD_EFFECT_USER_TXN)
        at = &(*at)->next;
    struct bd_effect *e = *at;
    if (!e) {
        play_fail(p, "no user's transaction");
        return;
    }
    *at = e->next;
    p->store_revision = p->store_revision < 1000 ? 1000 : p->store_revision + 1;
    bd_user_txn_completed(p->c, NULL, e->key, e->body, e->status, strtol(p->w[1], NULL, 10),
                          p->store_revision);
    bd_effect_free(e);
}

static void cmd_provisioned(struct play *p)
{
    char names[WORDS][BD_LABEL];
    int n = 0;
    if (p->c->cloud.nprovision_requests == 0) {
        play_fail(p, "no rental is open");
        return;
    }
    char request[BD_LABEL];
    snprintf(request, sizeof request, "%s", p->c->cloud.provision_requests[0].request);
    bool refused = strcmp(p->w[1], "refused") == 0;
    for (int i = 2; i < p->n; i++)
        snprintf(names[n++], BD_LABEL, "%s", p->w[i]);
    bd_scale_out_completed(p->c, request, refused ? 503 : 200, names, n);
}

static const char *const kinds[] = {"reply",   "user",    "commit",   "do",       "rent",
                                    "return",  "barrier", "lost",     "delegate", "lookup",
                                    "forward", "answer",  "cancelled"};

static bool holds_all(struct play *p, const struct bd_effect *e)
{
    char all[64], text[256];
    snprintf(all, sizeof all, "%d", e->status);
    for (int i = 2; i < p->n; i++) {
        expand(p->w[i], text, sizeof text);
        if (strcmp(text, all) == 0 || (e->body && strstr(e->body, text)) || strstr(e->addr, text) ||
            strstr(e->key, text))
            continue;
        return false;
    }
    return true;
}

static struct bd_effect **find(struct play *p)
{
    struct bd_effect **at = &p->left;
    for (; *at; at = &(*at)->next)
        if (strcmp(kinds[(*at)->kind], p->w[1]) == 0 && holds_all(p, *at))
            return at;
    return NULL;
}

static void show(const struct bd_effect *e)
{
    int most = 40;
    for (; e && most > 0; e = e->next, most--)
        fprintf(stderr, "    %s %d %s %s %s\n", kinds[e->kind], e->status, e->addr, e->key,
                e->body ? e->body : "");
}

static void cmd_expect(struct play *p)
{
    struct bd_effect **at = find(p);
    if (!at) {
        play_fail(p, "not among the effects");
        show(p->left);
        return;
    }
    struct bd_effect *e = *at;
    *at = e->next;
    bd_effect_free(e);
}

static void cmd_none(struct play *p)
{
    struct bd_effect **at = find(p);
    if (at) {
        play_fail(p, "must not happen");
        show(*at);
    }
}

static void cmd_clear(struct play *p)
{
    while (p->left) {
        struct bd_effect *e = p->left;
        p->left = e->next;
        bd_effect_free(e);
    }
}

static void cmd_task(struct play *p)
{
    static const char *const states[] = {"wait", "plan", "launch", "live", "unknown", "done"};
    char id[BD_ID];
    uint32_t i = 0;
    struct bd_job *j = NULL;
    if (bd_wire_task_name(p->w[1], id, &i))
        HASH_FIND_STR(p->c->jobs, id, j);
    if (!j || !j->tasks || i >= j->ntasks) {
        play_fail(p, "no such task");
        return;
    }
    struct bd_task *t = &j->tasks[i];
    if (strcmp(states[t->state], p->w[2]) != 0) {
        play_fail(p, states[t->state]);
        return;
    }
    if (p->n > 3 &&
        (t->machine == BD_NO_MACHINE || strcmp(p->c->by_index[t->machine]->id, p->w[3]) != 0))
        play_fail(p, "on another machine");
}

static void cmd_team(struct play *p)
{
    for (int i = 0; i < p->settings.nteams; i++) {
        if (strcmp(p->settings.teams[i].name, p->w[1]) != 0)
            continue;
        if (play_num(p, "cpus", p->c->team_cpus[i]) != p->c->team_cpus[i] ||
            play_num(p, "gpus", p->c->team_gpus[i]) != p->c->team_gpus[i])
            play_fail(p, "the team uses another amount");
        return;
    }
    play_fail(p, "no such team");
}

static void cmd_looked(struct play *p)
{
    bool ok = p->n < 2 || strcmp(p->w[1], "fail") != 0;
    bool barrier = p->c->replica.barrier_out;
    bd_replica_refreshed(p->c, p->c->replica.store_revision, p->c->replica.store_revision + 1,
                         p->c->now, barrier, ok);
}

static void cmd_at(struct play *p)
{
    double s = strtod(p->w[1], NULL);
    bd_core_set_clock(p->c, bd_secs(100 + s), 1000 + s);
}

static void cmd_returned(struct play *p)
{
    char names[WORDS][BD_LABEL];
    int n = 0;
    for (int i = 1; i < p->n; i++)
        snprintf(names[n++], BD_LABEL, "%s", p->w[i]);
    bd_scale_in_completed(p->c, names, n, true);
}

static void cmd_submit(struct play *p)
{
    const char *body = strchr(p->raw, '{');
    body = body ? body : strchr(p->raw, ' ') + 1;
    bd_user_submit(p->c, NULL, body, strlen(body));
}

static void cmd_simple(struct play *p)
{
    const char *v = p->w[0];
    if (strcmp(v, "tick") == 0)
        bd_core_tick(p->c);
    else if (strcmp(v, "busy") == 0)
        bd_kv_rate_exceeded(p->c);
    else if (strcmp(v, "confirmed") == 0)
        bd_liveness_written(p->c, p->c->now);
    else if (strcmp(v, "offered") == 0)
        bd_liveness_sent(p->c, p->c->now);
    else if (strcmp(v, "renew") == 0)
        bd_leadership_renewed(p->c, 7, p->c->now);
    else if (strcmp(v, "lose") == 0)
        bd_leadership_lost(p->c);
    else if (strcmp(v, "get") == 0)
        bd_user_status(p->c, NULL, p->w[1]);
    else if (strcmp(v, "cancel") == 0)
        bd_user_cancel(p->c, NULL, p->w[1]);
    else if (strcmp(v, "seed") == 0)
        bd_core_seed(p->c, p->n > 1 ? strtoull(p->w[1], NULL, 10) : 0);
    else if (strcmp(v, "up") == 0) {
        if (p->n < 2 || bd_leadership_healthy(p->c) != (number_of(p->w[1]) != 0))
            play_fail(p, "up is otherwise");
    } else if (strcmp(v, "ready") == 0)
        bd_replica_listed(p->c, 10, p->c->now);
    else
        play_fail(p, "unknown step");
}

bool play_run_step(struct play *p, const struct play_step *steps, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (strcmp(p->w[0], steps[i].verb) != 0)
            continue;
        if (p->n < steps[i].words)
            play_fail(p, "too few words");
        else
            steps[i].run(p);
        return true;
    }
    return false;
}

static void step(struct play *p)
{
    static const struct play_step steps[] = {{"type", 2, cmd_type},
                                             {"job", 2, cmd_job},
                                             {"part", 2, cmd_part},
                                             {"record", 4, cmd_record},
                                             {"state", 3, cmd_state},
                                             {"gain", 2, cmd_gain},
                                             {"report", 4, cmd_report},
                                             {"forwarded", 6, cmd_forwarded},
                                             {"answered", 3, cmd_answered},
                                             {"did", 2, cmd_did},
                                             {"listed", 1, cmd_listed},
                                             {"committed", 2, cmd_committed},
                                             {"usercommitted", 2, cmd_usercommitted},
                                             {"rented", 2, cmd_provisioned},
                                             {"returned", 2, cmd_returned},
                                             {"expect", 2, cmd_expect},
                                             {"none", 2, cmd_none},
                                             {"clear", 1, cmd_clear},
                                             {"task", 3, cmd_task},
                                             {"team", 2, cmd_team},
                                             {"looked", 1, cmd_looked},
                                             {"at", 2, cmd_at},
                                             {"peer", 2, cmd_peer},
                                             {"leader", 3, cmd_leader},
                                             {"heard", 2, cmd_heard},
                                             {"limits", 3, cmd_limits},
                                             {"delegates", 1, cmd_delegates},
                                             {"touched", 2, cmd_liveness},
                                             {"delegatecommitted", 2, cmd_delegatecommitted},
                                             {"finals", 2, cmd_finals},
                                             {"lookedup", 4, cmd_lookedup},
                                             {"watch", 2, cmd_watch},
                                             {"submit", 2, cmd_submit}};
    if (strcmp(p->w[0], "set") == 0 || strcmp(p->w[0], "draining") == 0) {
        (*p->w[0] == 's' ? cmd_set : play_draining)(p);
        return;
    }
    start(p);
    if (!play_run_step(p, steps, sizeof steps / sizeof *steps) && !play_drain_step(p))
        cmd_simple(p);
    collect(p);
}

int main(int argc, char **argv)
{
    struct play p = {.log = {BD_LOG_ERROR, "scenario"}};
    char line[4096], copy[4096];
    struct behaviour_digest digest;
    bool traced = argc == 3 && strcmp(argv[2], "steps") == 0;
    if (argc != 2 && !traced && (argc != 3 || strcmp(argv[2], "digest") != 0))
        return 2;
    behaviour_digest_start(&digest, traced ? stdout : NULL);
    p.digest = argc == 3 ? &digest : NULL;
    p.path = argv[1];
    FILE *f = fopen(argv[1], "r");
    if (!f) {
        perror(argv[1]);
        return 2;
    }
    small_settings(&p.settings);
    if (getenv("LOG_LEVEL"))
        p.log.level = bd_log_level_parse(getenv("LOG_LEVEL"));
    int steps = 0;
    while (fgets(line, sizeof line, f)) {
        p.line++;
        line[strcspn(line, "\n")] = '\0';
        if (line[0] == '#' || line[strspn(line, " ")] == '\0')
            continue;
        snprintf(copy, sizeof copy, "%s", line);
        p.raw = line;
        p.n = 0;
        for (char *s = NULL, *w = strtok_r(copy, " ", &s); w && p.n < WORDS;
             w = strtok_r(NULL, " ", &s))
            p.w[p.n++] = w;
        step(&p);
        steps++;
    }
    (void)fclose(f);
    if (p.digest)
        printf("digest %016llx of %llu steps\n", (unsigned long long)digest.hash,
               (unsigned long long)digest.steps);
    cmd_clear(&p);
    bd_core_free(p.c);
    free(p.settings.draining);
    json_decref(p.drains);
    json_decref(p.sets);
    if (steps == 0) {
        fprintf(stderr, "%s: no steps\n", argv[1]);
        return 1;
    }
    return p.faults ? 1 : 0;
}
