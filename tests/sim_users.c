/* The users of a simulated day. They submit, query and cancel jobs, and check the answers against
 * the rules. */
#include "leadership/leadership.h"
#include "sim_day.h"
#include "sim_plan.h"
#include "simulation.h"
#include "wire/wire.h"
#include <stdio.h>
#include <string.h>

#define LARGE_ARRAY_EVERY 4   /* of the jobs, by number, on a day with large arrays */
#define UNANSWERED_MAX_S 75.0 /* a job without an answer for longer counts as forgotten */

void sim_send_request(struct sim *sim, int job_index, int node, enum sim_request_kind kind)
{
    static const char *const kind_names[] = {"sweep", "gang", "service"};
    static const char *const priority_names[] = {"idle", "standard", "high", "production"};
    struct sim_job *job = &sim->jobs[job_index];
    char text[640];
    struct sim_event *event = sim_schedule(sim, sim_network_delay(sim), SIM_USER_REQUEST);
    event->node = node;
    event->index = job_index;
    event->status = kind;
    event->number = (uint64_t)(sim->now * 1e6);
    if (kind == SIM_CANCEL && job->cancel_requested_at <= 0)
        job->cancel_requested_at = sim->now;
    if (kind != SIM_SUBMIT)
        return;
    snprintf(text, sizeof text,
             "{\"id\":\"%s\",\"kin\":\"k\",\"household\":\"%s\",\"shape\":\"%s\",\"rank\":"
             "\"%s\",\"chores\":%u,\"vcpus\":%.1f,%s\"memGb\":1,\"seed\":\"img\",\"imageGb\":"
             "1,\"breeds\":null,\"glade\":%s,\"together\":false,\"scatter\":false,\"windfall\":"
             "false,\"guessS\":8,\"markS\":0,\"stowS\":0,\"dueS\":null}",
             job->id, job->team ? "b" : "a", kind_names[job->kind], priority_names[job->priority],
             job->tasks, job->cpus, job->is_invalid && job_index % 2 ? "" : "\"accelerators\":0,",
             job->zone);
    json_t *submission = json_loads(text, 0, NULL);
    event->text = sim->has_odd_spellings ? sim_spell(sim, submission) : strdup(text);
    json_decref(submission);
}

int sim_healthy_node(struct sim *sim)
{
    int from = (int)(sim_random(sim) * SIM_NODES);
    for (int i = 0; i < SIM_NODES; i++) {
        int node = (from + i) % SIM_NODES;
        if (sim->nodes[node].core && bd_leadership_is_healthy(sim->nodes[node].core))
            return node;
    }
    return from;
}

/* After a change of state: queries all nodes, and sometimes repeats the submission. */
static void query_all_nodes(struct sim *sim, int job_index)
{
    for (int i = 0; i < SIM_NODES; i++)
        sim_send_request(sim, job_index, i, SIM_QUERY);
    if (sim_random(sim) < 0.5)
        sim_send_request(sim, job_index, sim_healthy_node(sim), SIM_SUBMIT);
}

void sim_user_timer(struct sim *sim, struct sim_event *event)
{
    struct sim_job *job = &sim->jobs[event->index];
    bool is_over = job->done_at > 0 || job->cancelled_at > 0;
    if (job->accepted_at <= 0)
        sim_send_request(sim, event->index, sim_healthy_node(sim), SIM_SUBMIT);
    else if (job->cancel_at > 0 && sim->now >= job->cancel_at && !is_over)
        sim_send_request(sim, event->index, sim_healthy_node(sim), SIM_CANCEL);
    else
        sim_send_request(sim, event->index, sim_healthy_node(sim), SIM_QUERY);
    double answer_due_from =
        job->last_answer_at > sim->faults_end_at ? job->last_answer_at : sim->faults_end_at;
    if (job->accepted_at > 0 && sim->now - answer_due_from > UNANSWERED_MAX_S)
        sim_violation(sim, "forgotten: no query of %s was answered for %.0f s", job->id,
                      UNANSWERED_MAX_S);
    if (job->is_invalid && sim->now > sim->faults_end_at)
        return;
    sim_schedule(sim, is_over ? sim_uniform(sim, 5, 15) : sim_uniform(sim, 1, 4), SIM_USER_TIMER)
        ->index = event->index;
}

static void check_reported_state(struct sim *sim, struct sim_event *event, const char *state)
{
    struct sim_job *job = &sim->jobs[event->index];
    double sent_at = (double)event->number / 1e6;
    bool is_change = job->accepted_at <= 0;
    if (is_change)
        job->accepted_at = sim->now;
    job->last_answer_at = sim->now;
    if (strcmp(state, "done") == 0) {
        for (uint32_t i = 0; i < job->tasks; i++)
            if (!job->done[i])
                sim_violation(sim, "not_done: %s is reported as done, task %u is not", job->id, i);
        is_change = is_change || job->done_at <= 0;
        if (job->cancelled_at > 0 && sent_at > job->cancelled_at)
            sim_violation(sim, "went_back: %s was cancelled, now done", job->id);
        job->done_at = job->done_at > 0 ? job->done_at : sim->now;
    } else if (strcmp(state, "cancelled") == 0) {
        if (job->cancel_requested_at <= 0)
            sim_violation(sim, "went_back: %s is reported as cancelled, but nobody requested it",
                          job->id);
        if (job->done_at > 0 && sent_at > job->done_at)
            sim_violation(sim, "went_back: %s was done, now cancelled", job->id);
        is_change = is_change || job->cancelled_at <= 0;
        if (job->cancelled_at <= 0)
            sim_trace(sim, "%s is cancelled", job->id);
        job->cancelled_at = job->cancelled_at > 0 ? job->cancelled_at : sim->now;
    } else if ((job->done_at > 0 && sent_at > job->done_at) ||
               (job->cancelled_at > 0 && sent_at > job->cancelled_at)) {
        sim_violation(sim, "went_back: %s was %s, now %s", job->id,
                      job->done_at > 0 ? "done" : "cancelled", state);
    }
    if (is_change)
        query_all_nodes(sim, event->index);
    if (is_change && job->cancel_at < 0) { /* cancelled as soon as it is accepted */
        job->cancel_at = sim->now;
        sim_send_request(sim, event->index, sim_healthy_node(sim), SIM_CANCEL);
    }
}

void sim_user_answered(struct sim *sim, struct sim_event *event)
{
    struct sim_job *job = &sim->jobs[event->index];
    bool was_accepted = job->accepted_at > 0 && (double)event->number / 1e6 > job->accepted_at;
    json_t *answer = event->text ? json_loads(event->text, 0, NULL) : NULL;
    const char *state = json_string_value(json_object_get(answer, "mood"));
    if (event->status == 200 || event->status == 201) {
        if (job->is_invalid)
            sim_violation(sim, "accepted: %s lacks a field, or has no zone", job->id);
        check_reported_state(sim, event, state ? state : "");
    } else if (event->status == 404 || event->status == 400 || event->status == 422) {
        if (was_accepted)
            sim_violation(sim, "forgotten: %s gets %ld", job->id, event->status);
        if (!job->is_invalid && event->status != 404)
            sim_violation(sim, "refused: %s gets %ld: %s", job->id, event->status, event->text);
    }
    json_decref(answer);
}

void sim_add_job(struct sim *sim, const struct sim_plan *plan, double delay_s)
{
    if (sim->njobs == SIM_JOBS_MAX)
        return;
    int index = sim->njobs++;
    struct sim_job *job = &sim->jobs[index];
    memset(job, 0, sizeof *job);
    snprintf(job->id, sizeof job->id, "job-%d", index);
    double kind_draw = sim_random(sim);
    job->kind = index < plan->services ? BD_JOB_SERVICE
                : kind_draw < 0.2      ? BD_JOB_GANG
                                       : BD_JOB_ARRAY;
    job->team = index % 2;
    job->priority = job->kind == BD_JOB_SERVICE ? 3 : (int)(sim_random(sim) * 3);
    job->tasks = job->kind == BD_JOB_ARRAY ? 1 + (uint32_t)(sim_random(sim) * 5) : 2;
    job->cpus = job->kind == BD_JOB_SERVICE ? 1 : 1 + (int)(sim_random(sim) * 3);
    job->run_s = sim_random(sim) < 0.15 ? sim_uniform(sim, 30, 60) : sim_uniform(sim, 1, 12);
    if (plan->has_one_task_jobs) {
        job->kind = BD_JOB_ARRAY;
        job->tasks = 1;
        job->cpus = 1;
        job->run_s = sim_uniform(sim, 1, 6);
    }
    job->is_invalid = index > 3 && index % 17 == 0;
    double zone_draw = plan->has_one_task_jobs ? 1 : sim_random(sim);
    job->zone = job->is_invalid && index % 2 == 0 ? "\"nowhere\""
                : zone_draw < 0.1                 ? "\"a\""
                : zone_draw < 0.2                 ? "\"b\""
                                                  : "null";
    if (sim_random(sim) < plan->cancelled_share &&
        !(plan->has_drains && job->kind == BD_JOB_SERVICE))
        job->cancel_at =
            sim_random(sim) < 0.2 ? -1 : sim->now + delay_s + sim_uniform(sim, 0.1, 40);
    if (plan->has_large_arrays && job->kind == BD_JOB_ARRAY && index % LARGE_ARRAY_EVERY == 0) {
        job->tasks = (uint32_t)sim_uniform(sim, SIM_TASKS_MAX / 4.0, SIM_TASKS_MAX);
        job->run_s = sim_uniform(sim, 0.5, 4);
        job->cancel_at = sim->now + delay_s + sim_uniform(sim, 0.1, 90);
    }
    for (int i = 0; i < SIM_TASKS_MAX; i++)
        job->machine[i] = -1;
    sim_schedule(sim, delay_s, SIM_USER_TIMER)->index = index;
}
