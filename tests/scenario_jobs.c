/* The steps of scenarios for jobs: their records, and users' requests. */
#include "jobs/jobs.h"
#include "model/effect.h"
#include "numbers.h"
#include "scenario_play.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void read_spec(struct scenario *scenario, struct bd_job_spec_text *spec)
{
    memset(spec, 0, sizeof *spec);
    snprintf(spec->job_class, sizeof spec->job_class, "%s",
             scenario_find_text(scenario, "class") ? scenario_find_text(scenario, "class") : "k");
    snprintf(spec->team, sizeof spec->team, "%s",
             scenario_find_text(scenario, "team") ? scenario_find_text(scenario, "team") : "a");
    snprintf(spec->image, sizeof spec->image, "%s",
             scenario_find_text(scenario, "image") ? scenario_find_text(scenario, "image") : "img");
    spec->image_gb = scenario_find_number(scenario, "image_gb", 0);
    if (scenario_find_text(scenario, "zone"))
        snprintf(spec->zone, sizeof spec->zone, "%s", scenario_find_text(scenario, "zone"));
    spec->type_count = -1;
    const char *kind = scenario_find_text(scenario, "kind");
    if (kind)
        spec->kind = *kind == 'g' ? BD_JOB_GANG : *kind == 's' ? BD_JOB_SERVICE : BD_JOB_ARRAY;
    spec->priority =
        (enum bd_priority)scenario_find_number(scenario, "priority", BD_PRIORITY_STANDARD);
    spec->tasks = (uint32_t)scenario_find_number(scenario, "tasks", 1);
    spec->cpus = scenario_find_number(scenario, "cpus", 1);
    spec->gpus = scenario_find_number(scenario, "gpus", 0);
    spec->mem_gb = scenario_find_number(scenario, "mem_gb", 1);
    spec->checkpoint_interval_s = scenario_find_number(scenario, "checkpoint_interval_s", 0);
    spec->checkpoint_save_s = scenario_find_number(scenario, "checkpoint_save_s", 0);
    spec->deadline_s = scenario_find_number(scenario, "deadline_s", -1);
    spec->estimate_s = scenario_find_number(scenario, "estimate_s", 0);
    spec->spread_zones = scenario_find_flag(scenario, "spread_zones");
    spec->same_zone = scenario_find_flag(scenario, "same_zone");
    spec->spot = scenario_find_flag(scenario, "spot");
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

static void step_parents_part(struct scenario *scenario)
{
    char key[BD_LABEL_BYTES + 8];
    snprintf(key, sizeof key, "j/%s", scenario->words[1]);
    json_t *value =
        bd_wire_write_parents_part(split_names(scenario->word_count > 2 ? scenario->words[2] : ""));
    struct bd_kv_change change = {key, value,
                                  (uint64_t)scenario_find_number(scenario, "revision", 1)};
    bd_replica_apply(scenario->core, &change);
    json_decref(value);
}

static void step_job_record_json(struct scenario *scenario)
{
    char key[BD_LABEL_BYTES];
    const char *text = strchr(scenario->text, '{');
    json_t *value = text ? json_loads(text, 0, NULL) : NULL;
    if (!value)
        scenario_fail(scenario, "not JSON");
    snprintf(key, sizeof key, "j/%s", scenario->words[1]);
    struct bd_kv_change change = {key, value, strtoull(scenario->words[2], NULL, 10)};
    bd_replica_apply(scenario->core, &change);
    json_decref(value);
}

static void step_expect_job(struct scenario *scenario)
{
    static const char *const state_names[] = {"active", "done", "cancelled"};
    struct bd_job *job = NULL;
    HASH_FIND_STR(scenario->core->jobs, scenario->words[1], job);
    if (!job) {
        scenario_fail(scenario, "no such job");
        return;
    }
    bd_dag_update_priorities(scenario->core);
    if (strcmp(state_names[job->state], scenario->words[2]) != 0)
        scenario_fail(scenario, state_names[job->state]);
    if (scenario_find_number(scenario, "priority", job->priority) != (double)job->priority)
        scenario_fail(scenario, "the priority is different");
    if (scenario_find_number(scenario, "ready", job->nopen_parents == 0) !=
        (double)(job->nopen_parents == 0))
        scenario_fail(scenario, "ready is different");
}

static void step_job(struct scenario *scenario)
{
    struct bd_job_record record = {.state = BD_JOB_ACTIVE,
                                   .submitted_at = scenario_find_number(scenario, "revision", 1),
                                   .has_spec = true};
    const char *state = scenario_find_text(scenario, "state");
    char key[BD_LABEL_BYTES];
    read_spec(scenario, &record.spec);
    record.tasks = record.spec.tasks;
    if (state)
        record.state = strcmp(state, "done") == 0 ? BD_JOB_DONE : BD_JOB_CANCELLED;
    snprintf(key, sizeof key, "j/%s", scenario->words[1]);
    json_t *names = scenario_find_text(scenario, "parents")
                        ? split_names(scenario_find_text(scenario, "parents"))
                        : NULL;
    record.parents.ids = names;
    double parts = 0;
    if (scenario_find_text(scenario, "parent_parts") &&
        parse_name_and_numbers(scenario_find_text(scenario, "parent_parts"),
                               record.parents.parts_hash, sizeof record.parents.parts_hash, &parts,
                               1) != 1)
        scenario_fail(scenario, "parent_parts has the form HASH:COUNT");
    record.parents.part_count = (uint32_t)parts;
    record.ended_at = scenario_find_number(scenario, "ended_at_s", 0);
    json_t *value = bd_wire_write_job_record(&record);
    struct bd_kv_change change = {key, value,
                                  (uint64_t)scenario_find_number(scenario, "revision", 1)};
    bd_replica_apply(scenario->core, &change);
    json_decref(value);
    json_decref(names);
}

/* The jobs have the ids from job-1000000 on and were done 2 s after the epoch. */
static void step_finished_jobs(struct scenario *scenario)
{
    int count = parse_number(scenario->words[1]);
    for (int i = 0; i < count; i++) {
        char key[BD_LABEL_BYTES];
        snprintf(key, sizeof key, "j/job-%d", 1000000 + i);
        struct bd_job_record record = {
            .state = BD_JOB_DONE, .tasks = 1, .submitted_at = 1, .ended_at = 2};
        json_t *value = bd_wire_write_job_record(&record);
        struct bd_kv_change change = {key, value, (uint64_t)(i + 1)};
        bd_replica_apply(scenario->core, &change);
        json_decref(value);
    }
    bd_replica_evict(scenario->core);
}

static void step_job_lookup_completed(struct scenario *scenario)
{
    json_t *value = NULL;
    char key[BD_LABEL_BYTES];
    snprintf(key, sizeof key, "j/%s", scenario->words[1]);
    long status = strtol(scenario->words[3], NULL, 10);
    struct bd_job_record record = {.state = BD_JOB_DONE, .tasks = 1, .submitted_at = 1};
    if (scenario->word_count > 4 && strcmp(scenario->words[4], "cancelled") == 0) {
        read_spec(scenario, &record.spec);
        record.has_spec = true;
        record.state = BD_JOB_CANCELLED;
    }
    struct bd_kv_change change = {key, value = bd_wire_write_job_record(&record), 5};
    bd_replica_lookup_completed(scenario->core, NULL, scenario->words[1],
                                parse_number(scenario->words[2]), status,
                                status == 200 ? &change : NULL);
    json_decref(value);
}

static void step_refreshed(struct scenario *scenario)
{
    bool has_succeeded = scenario->word_count < 2 || strcmp(scenario->words[1], "failed") != 0;
    bool is_barrier = scenario->core->replica.barrier_in_flight;
    bd_replica_refreshed(scenario->core, scenario->core->replica.store_revision,
                         scenario->core->replica.store_revision + 1, scenario->core->now,
                         is_barrier, has_succeeded);
}

static void step_records_listed(struct scenario *scenario)
{
    bd_replica_listed(scenario->core, 10, scenario->core->now);
}

static void step_submit(struct scenario *scenario)
{
    const char *body = strchr(scenario->text, '{');
    body = body ? body : strchr(scenario->text, ' ') + 1;
    bd_user_submit(scenario->core, NULL, body, strlen(body));
}

static void step_get(struct scenario *scenario)
{
    bd_user_status(scenario->core, NULL, scenario->words[1]);
}

static void step_cancel(struct scenario *scenario)
{
    bd_user_cancel(scenario->core, NULL, scenario->words[1]);
}

static void step_user_txn_completed(struct scenario *scenario)
{
    struct bd_effect **link = &scenario->effects;
    while (*link && (*link)->kind != BD_EFFECT_USER_TXN)
        link = &(*link)->next;
    struct bd_effect *effect = *link;
    if (!effect) {
        scenario_fail(scenario, "no user_txn waits");
        return;
    }
    *link = effect->next;
    uint64_t revision = scenario_next_revision(scenario);
    bd_user_txn_completed(scenario->core, NULL, effect->key, effect->body, effect->purpose,
                          strtol(scenario->words[1], NULL, 10), revision);
    bd_effect_free(effect);
}

static void step_cancellation_received(struct scenario *scenario)
{
    bd_job_cancellation_announcement_received(scenario->core, scenario->words[1]);
}

bool scenario_run_job_step(struct scenario *scenario)
{
    static const struct scenario_step steps[] = {
        {"job", 2, step_job},
        {"parents_part", 2, step_parents_part},
        {"job_record_json", 4, step_job_record_json},
        {"expect_job", 3, step_expect_job},
        {"finished_jobs", 2, step_finished_jobs},
        {"job_lookup_completed", 4, step_job_lookup_completed},
        {"refreshed", 1, step_refreshed},
        {"records_listed", 1, step_records_listed},
        {"submit", 2, step_submit},
        {"get", 2, step_get},
        {"cancel", 2, step_cancel},
        {"user_txn_completed", 2, step_user_txn_completed},
        {"cancellation_received", 2, step_cancellation_received}};
    return scenario_run_step(scenario, steps, sizeof steps / sizeof *steps);
}
