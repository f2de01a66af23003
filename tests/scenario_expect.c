/* The steps of scenarios that compare what the core did with what is expected. */
#include "model/effect.h"
#include "model/task.h"
#include "scenario_play.h"
#include "wire/wire.h"
#include <stdio.h>
#include <string.h>

#define SHOWN_EFFECTS_MAX 40

/* by enum bd_effect_kind */
static const char *const kind_names[] = {"reply",   "user",    "commit",   "do",       "rent",
                                         "return",  "barrier", "lost",     "delegate", "lookup",
                                         "forward", "answer",  "cancelled"};

/* "@1.2" inside an expected text becomes the number itself */
static void expand_attempts(const char *text, char *out, size_t capacity)
{
    const char *at = strchr(text, '@');
    if (!at || at[1] < '0' || at[1] > '9') {
        snprintf(out, capacity, "%s", text);
        return;
    }
    size_t length = strspn(at + 1, "0123456789.");
    char revision[40];
    snprintf(revision, sizeof revision, "%.*s", (int)(length + 1), at);
    snprintf(out, capacity, "%.*s%llu%s", (int)(at - text), text,
             (unsigned long long)play_attempt(revision), at + 1 + length);
}

static bool matches(struct play *play, const struct bd_effect *effect)
{
    char status[64], text[256];
    snprintf(status, sizeof status, "%d", effect->status);
    for (int i = 2; i < play->nwords; i++) {
        expand_attempts(play->words[i], text, sizeof text);
        if (strcmp(text, status) == 0 || (effect->body && strstr(effect->body, text)) ||
            strstr(effect->addr, text) || strstr(effect->key, text))
            continue;
        return false;
    }
    return true;
}

static struct bd_effect **find_effect(struct play *play)
{
    struct bd_effect **at = &play->effects;
    for (; *at; at = &(*at)->next)
        if (strcmp(kind_names[(*at)->kind], play->words[1]) == 0 && matches(play, *at))
            return at;
    return NULL;
}

static void show_effects(const struct bd_effect *effect)
{
    int left = SHOWN_EFFECTS_MAX;
    for (; effect && left > 0; effect = effect->next, left--)
        fprintf(stderr, "    %s %d %s %s %s\n", kind_names[effect->kind], effect->status,
                effect->addr, effect->key, effect->body ? effect->body : "");
}

static void step_expect(struct play *play)
{
    struct bd_effect **at = find_effect(play);
    if (!at) {
        play_fail(play, "not among the effects");
        show_effects(play->effects);
        return;
    }
    struct bd_effect *effect = *at;
    *at = effect->next;
    bd_effect_free(effect);
}

static void step_none(struct play *play)
{
    struct bd_effect **at = find_effect(play);
    if (at) {
        play_fail(play, "must not happen");
        show_effects(*at);
    }
}

void play_clear_effects(struct play *play)
{
    while (play->effects) {
        struct bd_effect *effect = play->effects;
        play->effects = effect->next;
        bd_effect_free(effect);
    }
}

static void step_task(struct play *play)
{
    static const char *const states[] = {"wait", "plan", "launch", "live", "unknown", "done"};
    char id[BD_JOB_ID_BYTES];
    uint32_t index = 0;
    struct bd_job *job = NULL;
    if (bd_wire_read_task_name(play->words[1], id, &index))
        HASH_FIND_STR(play->core->jobs, id, job);
    if (!job || !job->tasks || index >= job->ntasks) {
        play_fail(play, "no such task");
        return;
    }
    struct bd_task *task = &job->tasks[index];
    if (strcmp(states[task->state], play->words[2]) != 0) {
        play_fail(play, states[task->state]);
        return;
    }
    if (play->nwords > 3 && (task->machine == BD_NO_MACHINE ||
                             strcmp(play->core->by_index[task->machine]->id, play->words[3]) != 0))
        play_fail(play, "on another machine");
}

static void step_team(struct play *play)
{
    for (int i = 0; i < play->settings.nteams; i++) {
        if (strcmp(play->settings.teams[i].name, play->words[1]) != 0)
            continue;
        if (play_number(play, "cpus", play->core->team_cpus[i]) != play->core->team_cpus[i] ||
            play_number(play, "gpus", play->core->team_gpus[i]) != play->core->team_gpus[i])
            play_fail(play, "the team uses another amount");
        return;
    }
    play_fail(play, "no such team");
}

bool play_expect_step(struct play *play)
{
    static const struct play_step steps[] = {{"expect", 2, step_expect},
                                             {"none", 2, step_none},
                                             {"clear", 1, play_clear_effects},
                                             {"task", 3, step_task},
                                             {"team", 2, step_team}};
    return play_run_step(play, steps, sizeof steps / sizeof *steps);
}
