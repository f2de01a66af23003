/* The steps of scenarios that concern draining; the head of scenario.c explains them. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/disruption_ledger.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/task.h"
#include "scenario_play.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <sexp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "drain/drain_record.h"
#include "drain/drain_request.h"
#include "drain/drain_rules.h"
#include "wire/wire_cloud.h"
#include "wire/wire_limits.h"
#include "wire/wire_workers.h"

void play_draining(struct play *p)
{
    struct bd_rules_fault fault = {"", ""};
    char text[4096];
    snprintf(text, sizeof text, "(%s)", strchr(p->raw, '('));
    sexp_t *e = parse_sexp(text, strlen(text));
    if (e)
        p->settings.draining = bd_drain_rules_read(&p->settings, e->list, &fault);
    if (!p->settings.draining)
        play_fail(p, *fault.field ? fault.field : "not an S-expression");
    if (e)
        destroy_sexp(e);
    sexp_cleanup();
}

static json_t *pair(const char *key, json_t *value, double revision)
{
    return json_pack("{s:s,s:o,s:I}", "k", key, "value", value, "mark", (json_int_t)revision);
}

static void replace_pair(json_t *pairs, json_t *with)
{
    json_t *v;
    size_t i;
    const char *key = json_string_value(json_object_get(with, "k"));
    json_array_foreach(pairs, i, v)
    {
        if (strcmp(json_string_value(json_object_get(v, "k")), key) != 0)
            continue;
        json_array_set_new(pairs, i, with);
        return;
    }
    json_array_append_new(pairs, with);
}

static void add_set(struct play *p, const char *set)
{
    char key[BD_LABEL];
    struct bd_drain_machine machines[WORDS];
    uint32_t n = 0;
    memset(machines, 0, sizeof machines);
    for (int i = 3; i < p->n; i++)
        if (!strchr(p->w[i], '='))
            snprintf(machines[n++].id, BD_LABEL, "%s", p->w[i]);
    if (n == 0)
        return;
    bd_drain_part_key(key, sizeof key, set, 0);
    json_array_append_new(p->sets, pair(key, bd_drain_part_value(machines, n), 1));
}

static enum bd_drain_state drain_state(const char *s)
{
    for (int i = 0; s && i < 4; i++)
        if (strncmp(bd_drain_state_name((enum bd_drain_state)i), s, 4) == 0)
            return (enum bd_drain_state)i;
    return BD_DRAIN_ACTIVE;
}

static void cmd_drain(struct play *p)
{
    char key[BD_LABEL + 8];
    struct bd_drain_record record = {.parts = 1, .machines = 1, .asked = json_object()};
    snprintf(record.name, sizeof record.name, "%s", p->w[1]);
    snprintf(record.set, sizeof record.set, "%.15s", p->w[1]);
    record.mode = strcmp(p->w[2], "retire") == 0 ? BD_DRAIN_RETIRE : BD_DRAIN_REPLACE;
    record.state = drain_state(play_arg(p, "state"));
    record.at = play_num(p, "at", p->c->wall);
    snprintf(key, sizeof key, BD_DRAIN_KEY "%s", p->w[1]);
    if (!p->drains) {
        p->drains = json_array();
        p->sets = json_array();
    }
    replace_pair(p->drains, pair(key, bd_drain_record_value(&record), play_num(p, "mark", 1)));
    add_set(p, record.set);
    json_decref(record.asked);
}

static void cmd_drains(struct play *p)
{
    bd_drain_records(p->c, p->drains, bd_drain_wants_sets(p->c) ? p->sets : NULL);
    if (bd_drain_wants_sets(p->c)) /* one that is new: its machines come with the next look */
        bd_drain_records(p->c, p->drains, p->sets);
}

/* stage NAME vm-1 STAGE: how far the machine is by the records, as a leader wrote them */
static void cmd_stage(struct play *p)
{
    struct bd_drain_machine *machines = NULL;
    uint32_t n = 0;
    json_t *v;
    size_t i;
    char key[BD_LABEL];
    bd_drain_part_key(key, sizeof key, p->w[1], 0);
    json_array_foreach(p->sets, i, v)
    {
        if (strcmp(json_string_value(json_object_get(v, "k")), key) != 0 ||
            !bd_drain_part_read(json_object_get(v, "value"), &machines, &n))
            continue;
        for (uint32_t k = 0; k < n; k++)
            for (int stage = 0; strcmp(machines[k].id, p->w[2]) == 0 && stage < BD_STAGES; stage++)
                if (strcmp(bd_drain_stage_name((enum bd_drain_stage)stage), p->w[3]) == 0)
                    machines[k].stage = (enum bd_drain_stage)stage;
        json_object_set_new(v, "value", bd_drain_part_value(machines, n));
    }
    if (n == 0)
        play_fail(p, "no such drain");
    free(machines);
}

/* drainrecord NAME JSON: as it stands in the state service */
static void cmd_drainrecord(struct play *p)
{
    char key[BD_LABEL + 8];
    snprintf(key, sizeof key, BD_DRAIN_KEY "%s", p->w[1]);
    json_t *v = json_loads(strstr(p->raw, p->w[2]), JSON_DECODE_ANY, NULL);
    if (!v)
        play_fail(p, "not JSON");
    replace_pair(p->drains, pair(key, v, 3));
}

/* The words of a reason, with dashes for spaces, against the one in the record that the leader
 * would write. */
static bool same_words(const char *dashed, const char *spaced)
{
    for (; *dashed && *spaced; dashed++, spaced++)
        if (*dashed != *spaced && !(*dashed == '-' && *spaced == ' '))
            return false;
    return *dashed == *spaced;
}

static void cmd_entry(struct play *p)
{
    struct bd_drain_machine m;
    if (!bd_drain_look(p->c, p->w[1], p->w[2], &m)) {
        play_fail(p, "no such entry");
        return;
    }
    const char *wait = play_arg(p, "wait"), *team = play_arg(p, "team"), *by = play_arg(p, "by");
    if (strcmp(bd_drain_stage_name(m.stage), p->w[3]) != 0)
        play_fail(p, bd_drain_stage_name(m.stage));
    if (wait && !same_words(wait, bd_drain_wait_name(m.wait)))
        play_fail(p, bd_drain_wait_name(m.wait));
    if ((team && strcmp(team, m.team) != 0) || (by && strcmp(by, m.replacement) != 0))
        play_fail(p, team ? m.team : m.replacement);
}

static void cmd_ledger(struct play *p)
{
    char team[BD_NAME] = "", job_class[BD_NAME] = "";
    uint32_t down, up;
    (void)sscanf(p->w[1], "%63[^:]:%63s", team, job_class);
    bd_ledger_count(p->c, team, job_class, &down, &up);
    if (play_num(p, "down", down) != down || play_num(p, "up", up) != up) {
        fprintf(stderr, "%u down, %u up\n", down, up);
        play_fail(p, "the ledger counts otherwise");
    }
}

/* The machine's report: all that it holds runs, what was told to stop has stopped. */
static void fill_running(struct play *p, const char *id, struct bd_heartbeat *r,
                         struct bd_reported_task *tasks)
{
    struct bd_machine *m = NULL;
    HASH_FIND_STR(p->c->machines, id, m);
    memset(tasks, 0, WORDS * sizeof *tasks);
    *r = (struct bd_heartbeat){.incarnation = (uint64_t)play_num(p, "session", 1),
                               .notice = play_num(p, "notice", -1),
                               .fencing_token = p->c->lead.term,
                               .tasks = tasks};
    snprintf(r->machine, sizeof r->machine, "%s", id);
    snprintf(r->addr, sizeof r->addr, "addr-%s", id);
    bool typed = m && m->type >= 0 && m->zone >= 0;
    const char *type = play_arg(p, "type"), *zone = play_arg(p, "zone");
    snprintf(r->type, sizeof r->type, "%s",
             type    ? type
             : typed ? p->c->types[m->type].label
                     : "small");
    snprintf(r->zone, sizeof r->zone, "%s", zone ? zone : typed ? p->c->zones[m->zone] : "a");
    r->seq = ++p->report_seq + 1000;
    for (uint32_t k = 0; m && k < m->nreservations && r->n < WORDS; k++) {
        const struct bd_job *j = m->reservations[k].job;
        const struct bd_task *t = &j->tasks[m->reservations[k].task];
        if (t->state == BD_TASK_PLANNED)
            continue;
        struct bd_reported_task *seen = &tasks[r->n++];
        snprintf(seen->job, sizeof seen->job, "%s", j->id);
        seen->task = m->reservations[k].task;
        seen->attempt = t->attempt;
        bool stops = t->flags & BD_TASK_FLAG_STOP_REQUESTED && !play_yes(p, "deaf");
        const char *fetches = play_arg(p, "fetches");
        bool waits = fetches && strcmp(fetches, id) == 0 && t->execution != BD_EXECUTION_RUNNING;
        seen->execution = stops   ? BD_EXECUTION_EXITED
                          : waits ? BD_EXECUTION_FETCHING
                                  : BD_EXECUTION_RUNNING;
        seen->exit_reason = stops ? BD_EXIT_STOPPED : BD_EXIT_NONE;
    }
}

static void report_running(struct play *p, const char *id)
{
    struct bd_heartbeat r;
    struct bd_reported_task tasks[WORDS];
    struct bd_machine *m = NULL;
    HASH_FIND_STR(p->c->machines, id, m);
    if (m && m->gone)
        return;
    fill_running(p, id, &r, tasks);
    bd_worker_heartbeat_received(p->c, NULL, &r, "{}", 2);
}

static void cmd_running(struct play *p)
{
    report_running(p, p->w[1]);
}

/* Direct commands are carried out and answered, and returned machines are gone. The effects stay,
 * for `expect`. */
static void answer_effects(struct play *p)
{
    struct bd_effect **at = &p->left;
    while (*at)
        at = &(*at)->next;
    *at = bd_effects_take(p->c);
    for (const struct bd_effect *e = *at; e; e = e->next) {
        struct bd_heartbeat r;
        struct bd_reported_task tasks[WORDS];
        if (e->kind == BD_EFFECT_DIRECT_COMMAND) {
            const char *id = p->c->by_index[e->machine]->id, *mute = play_arg(p, "mute");
            bool answers = !mute || strcmp(mute, id) != 0;
            fill_running(p, id, &r, tasks);
            bd_worker_direct_command_completed(p->c, e->machine, e->fencing_token, e->launch,
                                               answers ? 200 : 0, &r);
        } else if (e->kind == BD_EFFECT_SCALE_IN) {
            json_t *o = json_loads(e->body, 0, NULL);
            char names[128][BD_LABEL];
            bd_scale_in_completed(p->c, names, bd_wire_machine_names(o, names, 128), true);
            json_decref(o);
        }
    }
}

/* passes S [vm-1 ...] [mute=vm-2] [fetches=vm-3]: those machines report each second as `running`
 * does; direct commands to the one that is mute get no answer; nothing begins to run on one that
 * fetches */
static void cmd_passes(struct play *p)
{
    double now = bd_to_secs(p->c->now) - 100, to = now + strtod(p->w[1], NULL);
    for (int half = 0; now < to; half++) {
        now = now + 0.5 < to ? now + 0.5 : to;
        bd_core_set_clock(p->c, bd_secs(100 + now), 1000 + now);
        bd_leadership_renewed(p->c, 7, p->c->now);
        bd_delegate_records_read(p->c, NULL, p->c->now);
        bd_replica_refreshed(p->c, p->c->replica.store_revision, p->c->replica.store_revision,
                             p->c->now, p->c->replica.barrier_out, true);
        for (int i = 2; i < p->n && half % 2 == 0; i++)
            if (!strchr(p->w[i], '='))
                report_running(p, p->w[i]);
        cmd_drains(p);
        bd_core_tick(p->c);
        p->store_revision = p->store_revision < 1000 ? 1000 : p->store_revision + 1;
        if (p->c->lead.commit)
            bd_leader_txn_completed(p->c, BD_TXN_COMMITTED, p->store_revision, NULL);
        answer_effects(p);
    }
}

/* asks {json} => [STATUS FIELD]; means {json} vm-1:small:a ... => STATUS FIELD | ids */
static void cmd_request(struct play *p)
{
    const char *from = strchr(p->raw, '{'), *to = strrchr(p->raw, '}');
    struct bd_drain_request request;
    struct bd_drain_refusal no = {0, "", ""};
    struct bd_cloud_machine listed[WORDS];
    char got[1024] = "ok";
    size_t n = 0;
    const char *expected = to ? strstr(to, "=>") : NULL;
    json_t *o = from && to ? json_loadb(from, (size_t)(to - from) + 1, 0, NULL) : NULL;
    memset(listed, 0, sizeof listed);
    for (int i = 1; i < p->n; i++)
        if (sscanf(p->w[i], "%63[a-z0-9-]:%63[^:]:%63s", listed[n].id, listed[n].type,
                   listed[n].zone) == 3)
            n++;
    json_t *ids = NULL;
    bool ok = bd_drain_request_read(o, &request, &no);
    if (ok && strcmp(p->w[0], "means") == 0) {
        ids = bd_drain_request_machines(&request, p->settings.draining, listed, n, &no);
        for (size_t i = 0; i < json_array_size(ids); i++)
            snprintf(got + strlen(got), sizeof got - strlen(got), " %s",
                     json_string_value(json_array_get(ids, i)));
    }
    if (no.status)
        snprintf(got, sizeof got, "%d %s", no.status, no.field);
    if (!expected || strcmp(expected + 3, got) != 0)
        play_fail(p, got);
    json_decref(ids);
    json_decref(o);
}

bool play_drain_step(struct play *p)
{
    static const struct play_step steps[] = {
        {"drain", 3, cmd_drain},     {"drains", 1, cmd_drains},
        {"stage", 4, cmd_stage},     {"drainrecord", 3, cmd_drainrecord},
        {"entry", 4, cmd_entry},     {"ledger", 2, cmd_ledger},
        {"running", 2, cmd_running}, {"passes", 2, cmd_passes},
        {"asks", 2, cmd_request},    {"means", 2, cmd_request},
    };
    return play_run_step(p, steps, sizeof steps / sizeof *steps);
}
