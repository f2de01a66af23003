/* The steps of scenarios that compare effects and state of the core with the expected ones. */
#include "model/effect.h"
#include "model/task.h"
#include "model/task_table.h"
#include "scenario_play.h"
#include "wire/wire.h"
#include <stdio.h>
#include <string.h>

#define PRINTED_EFFECTS_MAX 40

/* Indexed by enum bd_effect_kind. */
static const char *const effect_kind_names[] = {"reply",
                                                "user_txn",
                                                "leader_txn",
                                                "direct_command",
                                                "scale_out",
                                                "scale_in",
                                                "read_barrier",
                                                "step_down",
                                                "delegate_txn",
                                                "job_lookup",
                                                "forward_heartbeat",
                                                "forward_reply",
                                                "announce_cancellation"};

/* Copies an expected text with its first @TERM.N replaced by the attempt's number. */
static void expand_attempt(const char *text, char *out, size_t capacity)
{
    const char *at = strchr(text, '@');
    if (!at || at[1] < '0' || at[1] > '9') {
        snprintf(out, capacity, "%s", text);
        return;
    }
    size_t length = strspn(at + 1, "0123456789.");
    char attempt[40];
    snprintf(attempt, sizeof attempt, "%.*s", (int)(length + 1), at);
    snprintf(out, capacity, "%.*s%llu%s", (int)(at - text), text,
             (unsigned long long)scenario_parse_attempt(attempt), at + 1 + length);
}

static bool effect_matches(struct scenario *scenario, const struct bd_effect *effect)
{
    char status[64], text[256];
    snprintf(status, sizeof status, "%d", effect->status);
    for (int i = 2; i < scenario->word_count; i++) {
        expand_attempt(scenario->words[i], text, sizeof text);
        if (strcmp(text, status) == 0 || (effect->body && strstr(effect->body, text)) ||
            strstr(effect->addr, text) || strstr(effect->key, text))
            continue;
        return false;
    }
    return true;
}

static struct bd_effect **find_effect(struct scenario *scenario)
{
    struct bd_effect **link = &scenario->effects;
    for (; *link; link = &(*link)->next)
        if (strcmp(effect_kind_names[(*link)->kind], scenario->words[1]) == 0 &&
            effect_matches(scenario, *link))
            return link;
    return NULL;
}

static void print_effects(const struct bd_effect *effect)
{
    int remaining = PRINTED_EFFECTS_MAX;
    for (; effect && remaining > 0; effect = effect->next, remaining--)
        fprintf(stderr, "    %s %d %s %s %s\n", effect_kind_names[effect->kind], effect->status,
                effect->addr, effect->key, effect->body ? effect->body : "");
}

static void step_expect(struct scenario *scenario)
{
    struct bd_effect **link = find_effect(scenario);
    if (!link) {
        scenario_fail(scenario, "no effect matches");
        print_effects(scenario->effects);
        return;
    }
    struct bd_effect *effect = *link;
    *link = effect->next;
    bd_effect_free(effect);
}

static void step_expect_none(struct scenario *scenario)
{
    struct bd_effect **link = find_effect(scenario);
    if (link) {
        scenario_fail(scenario, "an effect matches");
        print_effects(*link);
    }
}

void scenario_clear_effects(struct scenario *scenario)
{
    while (scenario->effects) {
        struct bd_effect *effect = scenario->effects;
        scenario->effects = effect->next;
        bd_effect_free(effect);
    }
}

static void step_expect_task(struct scenario *scenario)
{
    static const char *const state_names[] = {"pending",   "planned", "launching",
                                              "confirmed", "unknown", "done"};
    char id[BD_JOB_ID_BYTES];
    uint32_t index = 0;
    struct bd_job *job = NULL;
    if (bd_wire_read_task_name(scenario->words[1], id, &index))
        HASH_FIND_STR(scenario->core->jobs, id, job);
    if (!job || !job->tasks || index >= job->ntasks) {
        scenario_fail(scenario, "no such task");
        return;
    }
    const struct bd_task *task = bd_job_task(job, index);
    if (strcmp(state_names[task->state], scenario->words[2]) != 0) {
        scenario_fail(scenario, state_names[task->state]);
        return;
    }
    if (scenario->word_count > 3 &&
        (task->machine == BD_NO_MACHINE ||
         strcmp(scenario->core->machines_by_index[task->machine]->id, scenario->words[3]) != 0))
        scenario_fail(scenario, "the task is on another machine");
}

static void step_expect_team(struct scenario *scenario)
{
    for (int i = 0; i < scenario->settings.nteams; i++) {
        if (strcmp(scenario->settings.teams[i].name, scenario->words[1]) != 0)
            continue;
        if (scenario_find_number(scenario, "cpus", scenario->core->team_cpus[i]) !=
                scenario->core->team_cpus[i] ||
            scenario_find_number(scenario, "gpus", scenario->core->team_gpus[i]) !=
                scenario->core->team_gpus[i])
            scenario_fail(scenario, "the team uses another amount");
        return;
    }
    scenario_fail(scenario, "no such team");
}

bool scenario_run_expect_step(struct scenario *scenario)
{
    static const struct scenario_step steps[] = {{"expect", 2, step_expect},
                                                 {"expect_none", 2, step_expect_none},
                                                 {"clear_effects", 1, scenario_clear_effects},
                                                 {"expect_task", 3, step_expect_task},
                                                 {"expect_team", 2, step_expect_team}};
    return scenario_run_step(scenario, steps, sizeof steps / sizeof *steps);
}
