/* The steps of scenarios that concern jobs: their records, and what users ask. */
#include "jobs/jobs.h"
#include "model/effect.h"
#include "numbers.h"
#include "scenario_play.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void read_spec(struct play *play, struct bd_job_spec_text *spec)
{
    memset(spec, 0, sizeof *spec);
    snprintf(spec->job_class, sizeof spec->job_class, "%s",
             play_text(play, "class") ? play_text(play, "class") : "k");
    snprintf(spec->team, sizeof spec->team, "%s",
             play_text(play, "team") ? play_text(play, "team") : "a");
    snprintf(spec->image, sizeof spec->image, "%s",
             play_text(play, "image") ? play_text(play, "image") : "img");
    spec->image_gb = play_number(play, "gb", 0);
    if (play_text(play, "zone"))
        snprintf(spec->zone, sizeof spec->zone, "%s", play_text(play, "zone"));
    spec->ntypes = -1;
    const char *shape = play_text(play, "shape");
    if (shape)
        spec->kind = *shape == 'g' ? BD_JOB_GANG : *shape == 's' ? BD_JOB_SERVICE : BD_JOB_ARRAY;
    spec->priority = (enum bd_priority)play_number(play, "rank", BD_PRIORITY_STANDARD);
    spec->tasks = (uint32_t)play_number(play, "tasks", 1);
    spec->cpus = play_number(play, "cpus", 1);
    spec->gpus = play_number(play, "gpus", 0);
    spec->mem = play_number(play, "mem", 1);
    spec->checkpoint_interval_s = play_number(play, "checkpoint", 0);
    spec->checkpoint_save_s = play_number(play, "save", 0);
    spec->deadline_s = play_number(play, "due", -1);
    spec->estimate = play_number(play, "guess", 0);
    spec->spread_zones = play_flag(play, "scatter");
    spec->same_zone = play_flag(play, "together");
    spec->spot = play_flag(play, "spot");
}

static json_t *split_names(const char *list)
{
    char copy[4096];
    json_t *names = json_array();
    snprintf(copy, sizeof copy, "%s", list);
    for (char *rest = NULL, *name = strtok_r(copy, ",", &rest); name;
         name = strtok_r(NULL, ",", &rest))
        json_array_append_new(names, json_string(name));
    return names;
}

/* part job-1/HASH/0 job-7,job-8: a part of what a job waits for */
static void step_part(struct play *play)
{
    char key[BD_LABEL_BYTES + 8];
    snprintf(key, sizeof key, "j/%s", play->words[1]);
    json_t *value = bd_wire_write_parents_part(split_names(play->nwords > 2 ? play->words[2] : ""));
    struct bd_change change = {key, value, (uint64_t)play_number(play, "mark", 1)};
    bd_replica_apply(play->core, &change);
    json_decref(value);
}

/* record job-1 MARK {...}: as it stands in the store */
static void step_record(struct play *play)
{
    char key[BD_LABEL_BYTES];
    const char *text = strchr(play->text, '{');
    json_t *value = text ? json_loads(text, 0, NULL) : NULL;
    if (!value)
        play_fail(play, "not JSON");
    snprintf(key, sizeof key, "j/%s", play->words[1]);
    struct bd_change change = {key, value, strtoull(play->words[2], NULL, 10)};
    bd_replica_apply(play->core, &change);
    json_decref(value);
}

/* state job-1 live|done|cancelled [rank=N] [ready=0|1]: what the core knows of a job */
static void step_state(struct play *play)
{
    static const char *const state_names[] = {"live", "done", "cancelled"};
    struct bd_job *job = NULL;
    HASH_FIND_STR(play->core->jobs, play->words[1], job);
    if (!job) {
        play_fail(play, "no such job");
        return;
    }
    bd_dag_update_priorities(play->core);
    if (strcmp(state_names[job->state], play->words[2]) != 0)
        play_fail(play, state_names[job->state]);
    if (play_number(play, "rank", job->priority) != (double)job->priority)
        play_fail(play, "another rank");
    if (play_number(play, "ready", job->nopen_parents == 0) != (double)(job->nopen_parents == 0))
        play_fail(play, "its readiness is otherwise");
}

static void step_job(struct play *play)
{
    struct bd_job_record record = {
        .state = BD_JOB_ACTIVE, .at = play_number(play, "mark", 1), .has_spec = true};
    const char *state = play_text(play, "state");
    char key[BD_LABEL_BYTES];
    read_spec(play, &record.spec);
    record.tasks = record.spec.tasks;
    if (state)
        record.state = strcmp(state, "done") == 0 ? BD_JOB_DONE : BD_JOB_CANCELLED;
    snprintf(key, sizeof key, "j/%s", play->words[1]);
    json_t *names = play_text(play, "needs") ? split_names(play_text(play, "needs")) : NULL;
    record.parents.names = names;
    double parts = 0;
    if (play_text(play, "parts") &&
        parse_name_and_numbers(play_text(play, "parts"), record.parents.of,
                               sizeof record.parents.of, &parts, 1) != 1)
        play_fail(play, "parts");
    record.parents.parts = (uint32_t)parts;
    record.end = play_number(play, "end", 0);
    json_t *value = bd_wire_write_record(&record);
    struct bd_change change = {key, value, (uint64_t)play_number(play, "mark", 1)};
    bd_replica_apply(play->core, &change);
    json_decref(value);
    json_decref(names);
}

/* many finished jobs, job-1000000 and on, long ago */
static void step_finals(struct play *play)
{
    int count = parse_number(play->words[1]);
    for (int i = 0; i < count; i++) {
        char key[BD_LABEL_BYTES];
        snprintf(key, sizeof key, "j/job-%d", 1000000 + i);
        struct bd_job_record record = {.state = BD_JOB_DONE, .tasks = 1, .at = 1, .end = 2};
        json_t *value = bd_wire_write_record(&record);
        struct bd_change change = {key, value, (uint64_t)(i + 1)};
        bd_replica_apply(play->core, &change);
        json_decref(value);
    }
    bd_replica_evict(play->core);
}

static void step_lookedup(struct play *play)
{
    json_t *value = NULL;
    char key[BD_LABEL_BYTES];
    snprintf(key, sizeof key, "j/%s", play->words[1]);
    long status = strtol(play->words[3], NULL, 10);
    struct bd_job_record record = {.state = BD_JOB_DONE, .tasks = 1, .at = 1};
    if (play->nwords > 4 && strcmp(play->words[4], "cancelled") == 0) {
        read_spec(play, &record.spec);
        record.has_spec = true;
        record.state = BD_JOB_CANCELLED;
    }
    struct bd_change change = {key, value = bd_wire_write_record(&record), 5};
    bd_replica_lookup_completed(play->core, NULL, play->words[1], parse_number(play->words[2]),
                                status, status == 200 ? &change : NULL);
    json_decref(value);
}

static void step_looked(struct play *play)
{
    bool ok = play->nwords < 2 || strcmp(play->words[1], "fail") != 0;
    bool barrier = play->core->replica.barrier_in_flight;
    bd_replica_refreshed(play->core, play->core->replica.store_revision,
                         play->core->replica.store_revision + 1, play->core->now, barrier, ok);
}

static void step_ready(struct play *play)
{
    bd_replica_listed(play->core, 10, play->core->now);
}

static void step_submit(struct play *play)
{
    const char *body = strchr(play->text, '{');
    body = body ? body : strchr(play->text, ' ') + 1;
    bd_user_submit(play->core, NULL, body, strlen(body));
}

static void step_get(struct play *play)
{
    bd_user_status(play->core, NULL, play->words[1]);
}

static void step_cancel(struct play *play)
{
    bd_user_cancel(play->core, NULL, play->words[1]);
}

static void step_usercommitted(struct play *play)
{
    struct bd_effect **at = &play->effects;
    while (*at && (*at)->kind != BD_EFFECT_USER_TXN)
        at = &(*at)->next;
    struct bd_effect *effect = *at;
    if (!effect) {
        play_fail(play, "no user's transaction");
        return;
    }
    *at = effect->next;
    uint64_t revision = play_next_revision(play);
    bd_user_txn_completed(play->core, NULL, effect->key, effect->body, effect->purpose,
                          strtol(play->words[1], NULL, 10), revision);
    bd_effect_free(effect);
}

static void step_heard(struct play *play)
{
    bd_job_cancellation_received(play->core, play->words[1]);
}

bool play_job_step(struct play *play)
{
    static const struct play_step steps[] = {
        {"job", 2, step_job},       {"part", 2, step_part},
        {"record", 4, step_record}, {"state", 3, step_state},
        {"finals", 2, step_finals}, {"lookedup", 4, step_lookedup},
        {"looked", 1, step_looked}, {"ready", 1, step_ready},
        {"submit", 2, step_submit}, {"get", 2, step_get},
        {"cancel", 2, step_cancel}, {"usercommitted", 2, step_usercommitted},
        {"heard", 2, step_heard}};
    return play_run_step(play, steps, sizeof steps / sizeof *steps);
}
