/* The steps of scenarios that concern draining; the head of scenario.c explains them. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "drain/drain.h"
#include "drain/drain_record.h"
#include "drain/drain_request.h"
#include "drain/drain_rules.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/disruption_ledger.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/task.h"
#include "scenario_play.h"
#include "wire/wire.h"
#include "wire/wire_cloud.h"
#include "wire/wire_limits.h"
#include "wire/wire_workers.h"
#include "workers/workers.h"
#include <sexp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void play_draining(struct play *play)
{
    struct bd_drain_rules_fault fault = {"", ""};
    char text[4096];
    snprintf(text, sizeof text, "(%s)", strchr(play->text, '('));
    sexp_t *expression = parse_sexp(text, strlen(text));
    if (expression)
        play->settings.draining = bd_drain_rules_read(&play->settings, expression->list, &fault);
    if (!play->settings.draining)
        play_fail(play, *fault.field ? fault.field : "not an S-expression");
    if (expression)
        destroy_sexp(expression);
    sexp_cleanup();
}

static json_t *pair(const char *key, json_t *value, double revision)
{
    return json_pack("{s:s,s:o,s:I}", "k", key, "value", value, "mark", (json_int_t)revision);
}

static void replace_pair(json_t *pairs, json_t *with)
{
    json_t *item;
    size_t i;
    const char *key = json_string_value(json_object_get(with, "k"));
    json_array_foreach(pairs, i, item)
    {
        if (strcmp(json_string_value(json_object_get(item, "k")), key) != 0)
            continue;
        json_array_set_new(pairs, i, with);
        return;
    }
    json_array_append_new(pairs, with);
}

static void add_set(struct play *play, const char *set)
{
    char key[BD_LABEL_BYTES];
    struct bd_drain_machine machines[PLAY_WORDS_MAX];
    uint32_t count = 0;
    memset(machines, 0, sizeof machines);
    for (int i = 3; i < play->nwords; i++)
        if (!strchr(play->words[i], '='))
            snprintf(machines[count++].id, BD_LABEL_BYTES, "%s", play->words[i]);
    if (count == 0)
        return;
    bd_drain_part_key(key, sizeof key, set, 0);
    json_array_append_new(play->sets, pair(key, bd_drain_part_encode(machines, count), 1));
}

static enum bd_drain_state drain_state(const char *text)
{
    for (int i = 0; text && i < 4; i++)
        if (strncmp(bd_drain_state_name((enum bd_drain_state)i), text, 4) == 0)
            return (enum bd_drain_state)i;
    return BD_DRAIN_ACTIVE;
}

static void step_drain(struct play *play)
{
    char key[BD_LABEL_BYTES + 8];
    struct bd_drain_record record = {.parts = 1, .machines = 1, .asked = json_object()};
    snprintf(record.name, sizeof record.name, "%s", play->words[1]);
    snprintf(record.set, sizeof record.set, "%.15s", play->words[1]);
    record.mode = strcmp(play->words[2], "retire") == 0 ? BD_DRAIN_RETIRE : BD_DRAIN_REPLACE;
    record.state = drain_state(play_text(play, "state"));
    record.at = play_number(play, "at", play->core->wall);
    snprintf(key, sizeof key, BD_DRAIN_KEY "%s", play->words[1]);
    if (!play->drains) {
        play->drains = json_array();
        play->sets = json_array();
    }
    replace_pair(play->drains,
                 pair(key, bd_drain_record_encode(&record), play_number(play, "mark", 1)));
    add_set(play, record.set);
    json_decref(record.asked);
}

static void step_drains(struct play *play)
{
    bd_drain_apply_records(play->core, play->drains,
                           bd_drain_wants_sets(play->core) ? play->sets : NULL);
    if (bd_drain_wants_sets(play->core)) /* one that is new: its machines come with the next read */
        bd_drain_apply_records(play->core, play->drains, play->sets);
}

/* stage NAME vm-1 STAGE: how far the machine is by the records, as a leader wrote them */
static void step_stage(struct play *play)
{
    struct bd_drain_machine *machines = NULL;
    uint32_t count = 0;
    json_t *item;
    size_t i;
    char key[BD_LABEL_BYTES];
    bd_drain_part_key(key, sizeof key, play->words[1], 0);
    json_array_foreach(play->sets, i, item)
    {
        if (strcmp(json_string_value(json_object_get(item, "k")), key) != 0 ||
            !bd_drain_part_decode(json_object_get(item, "value"), &machines, &count))
            continue;
        for (uint32_t k = 0; k < count; k++)
            for (int stage = 0; strcmp(machines[k].id, play->words[2]) == 0 && stage < BD_STAGES;
                 stage++)
                if (strcmp(bd_drain_stage_name((enum bd_drain_stage)stage), play->words[3]) == 0)
                    machines[k].stage = (enum bd_drain_stage)stage;
        json_object_set_new(item, "value", bd_drain_part_encode(machines, count));
    }
    if (count == 0)
        play_fail(play, "no such drain");
    free(machines);
}

/* drainrecord NAME JSON: as it stands in the store */
static void step_drainrecord(struct play *play)
{
    char key[BD_LABEL_BYTES + 8];
    snprintf(key, sizeof key, BD_DRAIN_KEY "%s", play->words[1]);
    json_t *value = json_loads(strstr(play->text, play->words[2]), JSON_DECODE_ANY, NULL);
    if (!value)
        play_fail(play, "not JSON");
    replace_pair(play->drains, pair(key, value, 3));
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

static void step_entry(struct play *play)
{
    struct bd_drain_machine machine;
    if (!bd_drain_copy_entry(play->core, play->words[1], play->words[2], &machine)) {
        play_fail(play, "no such entry");
        return;
    }
    const char *wait = play_text(play, "wait"), *team = play_text(play, "team"),
               *by = play_text(play, "by");
    if (strcmp(bd_drain_stage_name(machine.stage), play->words[3]) != 0)
        play_fail(play, bd_drain_stage_name(machine.stage));
    if (wait && !same_words(wait, bd_drain_wait_name(machine.wait)))
        play_fail(play, bd_drain_wait_name(machine.wait));
    if ((team && strcmp(team, machine.team) != 0) || (by && strcmp(by, machine.replacement) != 0))
        play_fail(play, team ? machine.team : machine.replacement);
}

static void step_ledger(struct play *play)
{
    char team[BD_NAME_BYTES] = "", job_class[BD_NAME_BYTES] = "";
    uint32_t down, up;
    (void)sscanf(play->words[1], "%63[^:]:%63s", team, job_class);
    bd_ledger_get_counts(play->core, team, job_class, &down, &up);
    if (play_number(play, "down", down) != down || play_number(play, "up", up) != up) {
        fprintf(stderr, "%u down, %u up\n", down, up);
        play_fail(play, "the ledger counts otherwise");
    }
}

/* The machine's heartbeat: all its tasks run, what was asked to stop has stopped. */
static void fill_running(struct play *play, const char *id, struct bd_heartbeat *heartbeat,
                         struct bd_reported_task *tasks)
{
    struct bd_machine *machine = NULL;
    HASH_FIND_STR(play->core->machines, id, machine);
    memset(tasks, 0, PLAY_WORDS_MAX * sizeof *tasks);
    *heartbeat = (struct bd_heartbeat){.incarnation = (uint64_t)play_number(play, "session", 1),
                                       .notice_s = play_number(play, "notice", -1),
                                       .fencing_token = play->core->lead.term,
                                       .tasks = tasks};
    snprintf(heartbeat->machine, sizeof heartbeat->machine, "%s", id);
    snprintf(heartbeat->address, sizeof heartbeat->address, "addr-%s", id);
    bool typed = machine && machine->type >= 0 && machine->zone >= 0;
    const char *type = play_text(play, "type"), *zone = play_text(play, "zone");
    snprintf(heartbeat->type, sizeof heartbeat->type, "%s",
             type    ? type
             : typed ? play->core->types[machine->type].label
                     : "small");
    snprintf(heartbeat->zone, sizeof heartbeat->zone, "%s",
             zone    ? zone
             : typed ? play->core->zones[machine->zone]
                     : "a");
    heartbeat->seq = ++play->heartbeat_seq + 1000;
    for (uint32_t k = 0;
         machine && k < machine->nreservations && heartbeat->task_count < PLAY_WORDS_MAX; k++) {
        const struct bd_job *job = machine->reservations[k].job;
        const struct bd_task *task = &job->tasks[machine->reservations[k].task];
        if (task->state == BD_TASK_PLANNED)
            continue;
        struct bd_reported_task *seen = &tasks[heartbeat->task_count++];
        snprintf(seen->job, sizeof seen->job, "%s", job->id);
        seen->task = machine->reservations[k].task;
        seen->attempt = task->attempt;
        bool stops = task->flags & BD_TASK_FLAG_STOP_REQUESTED && !play_flag(play, "deaf");
        const char *fetches = play_text(play, "fetches");
        bool waits = fetches && strcmp(fetches, id) == 0 && task->execution != BD_EXECUTION_RUNNING;
        seen->execution = stops   ? BD_EXECUTION_EXITED
                          : waits ? BD_EXECUTION_FETCHING_IMAGE
                                  : BD_EXECUTION_RUNNING;
        seen->exit_reason = stops ? BD_EXIT_STOPPED : BD_EXIT_NONE;
    }
}

static void report_running(struct play *play, const char *id)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task tasks[PLAY_WORDS_MAX];
    struct bd_machine *machine = NULL;
    HASH_FIND_STR(play->core->machines, id, machine);
    if (machine && machine->gone)
        return;
    fill_running(play, id, &heartbeat, tasks);
    bd_worker_heartbeat_received(play->core, NULL, &heartbeat, "{}", 2);
}

static void step_running(struct play *play)
{
    report_running(play, play->words[1]);
}

/* Direct commands are executed and answered, and returned machines are gone. The effects stay,
 * for `expect`. */
static void answer_effects(struct play *play)
{
    struct bd_effect **at = &play->effects;
    while (*at)
        at = &(*at)->next;
    *at = bd_effects_take(play->core);
    for (const struct bd_effect *effect = *at; effect; effect = effect->next) {
        struct bd_heartbeat heartbeat;
        struct bd_reported_task tasks[PLAY_WORDS_MAX];
        if (effect->kind == BD_EFFECT_DIRECT_COMMAND) {
            const char *id = play->core->by_index[effect->machine]->id,
                       *mute = play_text(play, "mute");
            bool answers = !mute || strcmp(mute, id) != 0;
            fill_running(play, id, &heartbeat, tasks);
            bd_worker_direct_command_completed(play->core, effect->machine, effect->fencing_token,
                                               effect->launch, answers ? 200 : 0, &heartbeat);
        } else if (effect->kind == BD_EFFECT_SCALE_IN) {
            json_t *request = json_loads(effect->body, 0, NULL);
            char names[128][BD_LABEL_BYTES];
            bd_scale_in_completed(play->core, names,
                                  bd_wire_read_machine_names(request, names, 128), true);
            json_decref(request);
        }
    }
}

/* passes S [vm-1 ...] [mute=vm-2] [fetches=vm-3]: those machines report each second as `running`
 * does; direct commands to the one that is mute get no answer; nothing begins to run on one that
 * fetches */
static void step_passes(struct play *play)
{
    double now = bd_to_secs(play->core->now) - 100, to = now + strtod(play->words[1], NULL);
    for (int half = 0; now < to; half++) {
        now = now + 0.5 < to ? now + 0.5 : to;
        bd_core_set_clock(play->core, bd_secs(100 + now), 1000 + now);
        bd_leadership_renewed(play->core, 7, play->core->now);
        bd_delegate_records_read(play->core, NULL, play->core->now);
        bd_replica_refreshed(play->core, play->core->replica.store_revision,
                             play->core->replica.store_revision, play->core->now,
                             play->core->replica.barrier_in_flight, true);
        for (int i = 2; i < play->nwords && half % 2 == 0; i++)
            if (!strchr(play->words[i], '='))
                report_running(play, play->words[i]);
        step_drains(play);
        bd_core_tick(play->core);
        uint64_t revision = play_next_revision(play);
        if (play->core->lead.commit)
            bd_core_leader_txn_completed(play->core, BD_TXN_COMMITTED, revision, NULL);
        answer_effects(play);
    }
}

/* asks {json} => [STATUS FIELD]; means {json} vm-1:small:a ... => STATUS FIELD | ids */
static void step_request(struct play *play)
{
    const char *from = strchr(play->text, '{'), *to = strrchr(play->text, '}');
    struct bd_drain_request request;
    struct bd_drain_refusal refusal = {0, "", ""};
    struct bd_cloud_machine listed[PLAY_WORDS_MAX];
    char got[1024] = "ok";
    size_t count = 0;
    const char *expected = to ? strstr(to, "=>") : NULL;
    json_t *json = from && to ? json_loadb(from, (size_t)(to - from) + 1, 0, NULL) : NULL;
    memset(listed, 0, sizeof listed);
    for (int i = 1; i < play->nwords; i++)
        if (sscanf(play->words[i], "%63[a-z0-9-]:%63[^:]:%63s", listed[count].id,
                   listed[count].type, listed[count].zone) == 3)
            count++;
    json_t *ids = NULL;
    bool ok = bd_drain_request_read(json, &request, &refusal);
    if (ok && strcmp(play->words[0], "means") == 0) {
        ids = bd_drain_request_machines(&request, play->settings.draining, listed, count, &refusal);
        for (size_t i = 0; i < json_array_size(ids); i++)
            snprintf(got + strlen(got), sizeof got - strlen(got), " %s",
                     json_string_value(json_array_get(ids, i)));
    }
    if (refusal.status)
        snprintf(got, sizeof got, "%d %s", refusal.status, refusal.field);
    if (!expected || strcmp(expected + 3, got) != 0)
        play_fail(play, got);
    json_decref(ids);
    json_decref(json);
}

bool play_drain_step(struct play *play)
{
    static const struct play_step steps[] = {
        {"drain", 3, step_drain},     {"drains", 1, step_drains},
        {"stage", 4, step_stage},     {"drainrecord", 3, step_drainrecord},
        {"entry", 4, step_entry},     {"ledger", 2, step_ledger},
        {"running", 2, step_running}, {"passes", 2, step_passes},
        {"asks", 2, step_request},    {"means", 2, step_request},
    };
    return play_run_step(play, steps, sizeof steps / sizeof *steps);
}
