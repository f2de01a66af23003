/* The steps of scenarios for draining. */
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

void scenario_run_draining(struct scenario *scenario)
{
    struct bd_drain_rules_error error = {"", ""};
    char text[4096];
    snprintf(text, sizeof text, "(%s)", strchr(scenario->text, '('));
    sexp_t *expression = parse_sexp(text, strlen(text));
    if (expression)
        scenario->settings.draining =
            bd_drain_rules_read(&scenario->settings, expression->list, &error);
    if (!scenario->settings.draining)
        scenario_fail(scenario, *error.field ? error.field : "not an S-expression");
    if (expression)
        destroy_sexp(expression);
    sexp_cleanup();
}

static json_t *make_pair(const char *key, json_t *value, double revision)
{
    return json_pack("{s:s,s:o,s:I}", "k", key, "value", value, "mark", (json_int_t)revision);
}

/* Replaces the pair with the same key, or appends it. */
static void replace_pair(json_t *pairs, json_t *replacement)
{
    json_t *item;
    size_t i;
    const char *key = json_string_value(json_object_get(replacement, "k"));
    json_array_foreach(pairs, i, item)
    {
        if (strcmp(json_string_value(json_object_get(item, "k")), key) != 0)
            continue;
        json_array_set_new(pairs, i, replacement);
        return;
    }
    json_array_append_new(pairs, replacement);
}

static void add_drain_part(struct scenario *scenario, const char *name)
{
    char key[BD_LABEL_BYTES];
    struct bd_drain_machine machines[SCENARIO_WORDS_MAX];
    uint32_t count = 0;
    memset(machines, 0, sizeof machines);
    for (int i = 3; i < scenario->word_count; i++)
        if (!strchr(scenario->words[i], '='))
            snprintf(machines[count++].id, BD_LABEL_BYTES, "%s", scenario->words[i]);
    if (count == 0)
        return;
    bd_drain_part_key(key, sizeof key, name, 0);
    json_array_append_new(scenario->drain_parts,
                          make_pair(key, bd_drain_part_encode(machines, count), 1));
}

/* Compares only the first 4 letters, because a step writes a state of two words with a dash. NULL
 * means active. */
static enum bd_drain_state parse_drain_state(struct scenario *scenario, const char *text)
{
    for (int i = 0; text && i < 4; i++)
        if (strncmp(bd_drain_state_name((enum bd_drain_state)i), text, 4) == 0)
            return (enum bd_drain_state)i;
    if (text)
        scenario_fail(scenario, "unknown state of a drain");
    return BD_DRAIN_ACTIVE;
}

static void step_drain(struct scenario *scenario)
{
    char key[BD_LABEL_BYTES + 8];
    struct bd_drain_record record = {.nparts = 1, .nmachines = 1, .request = json_object()};
    snprintf(record.name, sizeof record.name, "%s", scenario->words[1]);
    snprintf(record.machine_set_id, sizeof record.machine_set_id, "%.15s", scenario->words[1]);
    record.mode = strcmp(scenario->words[2], "retire") == 0 ? BD_DRAIN_RETIRE : BD_DRAIN_REPLACE;
    if (strcmp(scenario->words[2], bd_drain_mode_name(record.mode)) != 0)
        scenario_fail(scenario, "unknown mode of a drain");
    record.state = parse_drain_state(scenario, scenario_find_text(scenario, "state"));
    record.requested_at_s = scenario_find_number(scenario, "at", scenario->core->wall_s);
    snprintf(key, sizeof key, BD_DRAIN_KEY_PREFIX "%s", scenario->words[1]);
    if (!scenario->drain_records) {
        scenario->drain_records = json_array();
        scenario->drain_parts = json_array();
    }
    replace_pair(scenario->drain_records, make_pair(key, bd_drain_record_encode(&record),
                                                    scenario_find_number(scenario, "revision", 1)));
    add_drain_part(scenario, record.machine_set_id);
    json_decref(record.request);
}

static void step_drain_records_read(struct scenario *scenario)
{
    bd_drain_apply_records(scenario->core, scenario->drain_records,
                           bd_drain_needs_machine_records(scenario->core) ? scenario->drain_parts
                                                                          : NULL,
                           scenario->core->now);
    if (bd_drain_needs_machine_records(
            scenario->core)) /* a new drain: its machines come with the next read */
        bd_drain_apply_records(scenario->core, scenario->drain_records, scenario->drain_parts,
                               scenario->core->now);
}

static void step_drain_stage(struct scenario *scenario)
{
    struct bd_drain_machine *machines = NULL;
    uint32_t count = 0;
    json_t *item;
    size_t i;
    char key[BD_LABEL_BYTES];
    bd_drain_part_key(key, sizeof key, scenario->words[1], 0);
    json_array_foreach(scenario->drain_parts, i, item)
    {
        if (strcmp(json_string_value(json_object_get(item, "k")), key) != 0 ||
            !bd_drain_part_decode(json_object_get(item, "value"), &machines, &count))
            continue;
        for (uint32_t k = 0; k < count; k++)
            for (int stage = 0;
                 strcmp(machines[k].id, scenario->words[2]) == 0 && stage < BD_STAGES; stage++)
                if (strcmp(bd_drain_stage_name((enum bd_drain_stage)stage), scenario->words[3]) ==
                    0)
                    machines[k].stage = (enum bd_drain_stage)stage;
        json_object_set_new(item, "value", bd_drain_part_encode(machines, count));
    }
    if (count == 0)
        scenario_fail(scenario, "no such drain");
    free(machines);
}

static void step_drain_record_json(struct scenario *scenario)
{
    char key[BD_LABEL_BYTES + 8];
    snprintf(key, sizeof key, BD_DRAIN_KEY_PREFIX "%s", scenario->words[1]);
    json_t *value = json_loads(strstr(scenario->text, scenario->words[2]), JSON_DECODE_ANY, NULL);
    if (!value)
        scenario_fail(scenario, "not JSON");
    replace_pair(scenario->drain_records, make_pair(key, value, 3));
}

/* Whether the reasons are equal; a dash in `dashed` also matches a space in `spaced`. */
static bool equal_reasons(const char *dashed, const char *spaced)
{
    for (; *dashed && *spaced; dashed++, spaced++)
        if (*dashed != *spaced && !(*dashed == '-' && *spaced == ' '))
            return false;
    return *dashed == *spaced;
}

static void step_expect_drain_machine(struct scenario *scenario)
{
    struct bd_drain_machine machine;
    if (!bd_drain_copy_entry(scenario->core, scenario->words[1], scenario->words[2], &machine)) {
        scenario_fail(scenario, "the drain has no such machine");
        return;
    }
    const char *wait = scenario_find_text(scenario, "wait"),
               *team = scenario_find_text(scenario, "team"),
               *replacement = scenario_find_text(scenario, "replacement");
    if (strcmp(bd_drain_stage_name(machine.stage), scenario->words[3]) != 0)
        scenario_fail(scenario, bd_drain_stage_name(machine.stage));
    if (wait && !equal_reasons(wait, bd_drain_wait_name(machine.wait)))
        scenario_fail(scenario, bd_drain_wait_name(machine.wait));
    if ((team && strcmp(team, machine.team) != 0) ||
        (replacement && strcmp(replacement, machine.replacement) != 0))
        scenario_fail(scenario, team ? machine.team : machine.replacement);
}

static void step_expect_ledger(struct scenario *scenario)
{
    char team[BD_NAME_BYTES] = "", job_class[BD_NAME_BYTES] = "";
    uint32_t down, up;
    (void)sscanf(scenario->words[1], "%63[^:]:%63s", team, job_class);
    bd_ledger_get_counts(scenario->core, team, job_class, &down, &up);
    if (scenario_find_number(scenario, "down", down) != down ||
        scenario_find_number(scenario, "up", up) != up) {
        fprintf(stderr, "ledger: %u down, %u up\n", down, up);
        scenario_fail(scenario, "the ledger has other counts");
    }
}

/* Fills in the heartbeat of a machine whose tasks all run, or have stopped if that was requested.
 */
static void fill_running_heartbeat(struct scenario *scenario, const char *id,
                                   struct bd_heartbeat *heartbeat, struct bd_reported_task *tasks)
{
    struct bd_machine *machine = NULL;
    HASH_FIND_STR(scenario->core->machines, id, machine);
    memset(tasks, 0, SCENARIO_WORDS_MAX * sizeof *tasks);
    *heartbeat = (struct bd_heartbeat){
        .incarnation = (uint64_t)scenario_find_number(scenario, "incarnation", 1),
        .notice_s = scenario_find_number(scenario, "notice_s", -1),
        .fencing_token = scenario->core->lead.term,
        .tasks = tasks};
    snprintf(heartbeat->machine, sizeof heartbeat->machine, "%s", id);
    snprintf(heartbeat->address, sizeof heartbeat->address, "addr-%s", id);
    bool has_type_and_zone = machine && machine->type >= 0 && machine->zone >= 0;
    const char *type = scenario_find_text(scenario, "type"),
               *zone = scenario_find_text(scenario, "zone");
    snprintf(heartbeat->type, sizeof heartbeat->type, "%s",
             type                ? type
             : has_type_and_zone ? scenario->core->types[machine->type].label
                                 : "small");
    snprintf(heartbeat->zone, sizeof heartbeat->zone, "%s",
             zone                ? zone
             : has_type_and_zone ? scenario->core->zones[machine->zone]
                                 : "a");
    heartbeat->seq = ++scenario->heartbeat_seq + 1000;
    for (uint32_t k = 0;
         machine && k < machine->nreservations && heartbeat->task_count < SCENARIO_WORDS_MAX; k++) {
        const struct bd_job *job = machine->reservations[k].job;
        const struct bd_task *task = machine->reservations[k].task;
        if (task->state == BD_TASK_PLANNED)
            continue;
        struct bd_reported_task *reported = &tasks[heartbeat->task_count++];
        snprintf(reported->job, sizeof reported->job, "%s", job->id);
        reported->task = machine->reservations[k].task->index;
        reported->attempt = task->attempt;
        bool has_stopped = task->flags & BD_TASK_FLAG_STOP_REQUESTED &&
                           !scenario_find_flag(scenario, "ignore_stops");
        const char *fetching = scenario_find_text(scenario, "fetching");
        bool is_fetching =
            fetching && strcmp(fetching, id) == 0 && task->execution != BD_EXECUTION_RUNNING;
        reported->execution = has_stopped   ? BD_EXECUTION_EXITED
                              : is_fetching ? BD_EXECUTION_FETCHING_IMAGE
                                            : BD_EXECUTION_RUNNING;
        reported->exit_reason = has_stopped ? BD_EXIT_STOPPED : BD_EXIT_NONE;
    }
}

static void send_running_heartbeat(struct scenario *scenario, const char *id)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task tasks[SCENARIO_WORDS_MAX];
    struct bd_machine *machine = NULL;
    HASH_FIND_STR(scenario->core->machines, id, machine);
    if (machine && machine->terminated)
        return;
    fill_running_heartbeat(scenario, id, &heartbeat, tasks);
    bd_worker_heartbeat_received(scenario->core, NULL, &heartbeat, "{}", 2);
}

static void step_heartbeat_running(struct scenario *scenario)
{
    send_running_heartbeat(scenario, scenario->words[1]);
}

/* Completes the direct commands and the scale-ins among the new effects. The effects are kept for
 * `expect`. */
static void complete_effects(struct scenario *scenario)
{
    struct bd_effect **tail = &scenario->effects;
    while (*tail)
        tail = &(*tail)->next;
    *tail = bd_effects_take(scenario->core);
    for (const struct bd_effect *effect = *tail; effect; effect = effect->next) {
        struct bd_heartbeat heartbeat;
        struct bd_reported_task tasks[SCENARIO_WORDS_MAX];
        if (effect->kind == BD_EFFECT_DIRECT_COMMAND) {
            const char *id = scenario->core->machines_by_index[effect->machine]->id,
                       *unresponsive = scenario_find_text(scenario, "no_answer");
            bool responds = !unresponsive || strcmp(unresponsive, id) != 0;
            fill_running_heartbeat(scenario, id, &heartbeat, tasks);
            bd_worker_direct_command_completed(scenario->core, effect->machine,
                                               effect->fencing_token, effect->has_launches,
                                               responds ? 200 : 0, &heartbeat);
        } else if (effect->kind == BD_EFFECT_SCALE_IN) {
            json_t *request = json_loads(effect->body, 0, NULL);
            char names[128][BD_LABEL_BYTES];
            bd_scale_in_completed(scenario->core, names,
                                  bd_wire_read_machine_names(request, names, 128), true);
            json_decref(request);
        }
    }
}

static void step_run_for(struct scenario *scenario)
{
    double now = bd_to_secs(scenario->core->now) - SCENARIO_START_S,
           to = now + strtod(scenario->words[1], NULL);
    for (int half_seconds = 0; now < to; half_seconds++) {
        now = now + 0.5 < to ? now + 0.5 : to;
        bd_core_set_clock(scenario->core, bd_secs(SCENARIO_START_S + now),
                          SCENARIO_WALL_START_S + now);
        bd_leadership_lease_renewed(scenario->core, SCENARIO_GRANT, scenario->core->now);
        bd_delegate_records_read(scenario->core, NULL, scenario->core->now);
        bd_replica_refreshed(scenario->core, scenario->core->replica.store_revision,
                             scenario->core->replica.store_revision, scenario->core->now,
                             scenario->core->replica.barrier_in_flight, true);
        for (int i = 2; i < scenario->word_count && half_seconds % 2 == 0; i++)
            if (!strchr(scenario->words[i], '='))
                send_running_heartbeat(scenario, scenario->words[i]);
        step_drain_records_read(scenario);
        bd_core_tick(scenario->core);
        uint64_t revision = scenario_next_revision(scenario);
        if (scenario->core->lead.commit)
            bd_core_leader_txn_completed(scenario->core, BD_TXN_COMMITTED, revision, NULL);
        complete_effects(scenario);
    }
}

/* Runs both expect_drain_request and expect_drain_selection. */
static void step_expect_drain_request(struct scenario *scenario)
{
    const char *from = strchr(scenario->text, '{'), *to = strrchr(scenario->text, '}');
    struct bd_drain_request request;
    struct bd_drain_refusal refusal = {0, "", ""};
    struct bd_cloud_machine listed[SCENARIO_WORDS_MAX];
    char result[1024] = "ok";
    size_t count = 0;
    const char *expected = to ? strstr(to, "=>") : NULL;
    json_t *json = from && to ? json_loadb(from, (size_t)(to - from) + 1, 0, NULL) : NULL;
    memset(listed, 0, sizeof listed);
    for (int i = 1; i < scenario->word_count; i++)
        if (sscanf(scenario->words[i], "%63[a-z0-9-]:%63[^:]:%63s", listed[count].id,
                   listed[count].type, listed[count].zone) == 3)
            count++;
    json_t *ids = NULL;
    bool is_valid = bd_drain_request_read(json, &request, &refusal);
    if (is_valid && strcmp(scenario->words[0], "expect_drain_selection") == 0) {
        ids = bd_drain_request_resolve(&request, scenario->settings.draining, listed, count,
                                       &refusal);
        for (size_t i = 0; i < json_array_size(ids); i++)
            snprintf(result + strlen(result), sizeof result - strlen(result), " %s",
                     json_string_value(json_array_get(ids, i)));
    }
    if (refusal.status)
        snprintf(result, sizeof result, "%d %s", refusal.status, refusal.field);
    if (!expected || strcmp(expected + 3, result) != 0)
        scenario_fail(scenario, result);
    json_decref(ids);
    json_decref(json);
}

bool scenario_run_drain_step(struct scenario *scenario)
{
    static const struct scenario_step steps[] = {
        {"drain", 3, step_drain},
        {"drain_records_read", 1, step_drain_records_read},
        {"drain_stage", 4, step_drain_stage},
        {"drain_record_json", 3, step_drain_record_json},
        {"expect_drain_machine", 4, step_expect_drain_machine},
        {"expect_ledger", 2, step_expect_ledger},
        {"heartbeat_running", 2, step_heartbeat_running},
        {"run_for", 2, step_run_for},
        {"expect_drain_request", 2, step_expect_drain_request},
        {"expect_drain_selection", 2, step_expect_drain_request},
    };
    return scenario_run_step(scenario, steps, sizeof steps / sizeof *steps);
}
